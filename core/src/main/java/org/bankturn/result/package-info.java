/**
 * Numbered result codes; a test verifies that docs/RESULT-CODES.md matches the enum.
 */
package org.bankturn.result;
