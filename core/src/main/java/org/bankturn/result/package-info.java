/**
 * Numbered result codes; docs/RESULT-CODES.md is checked against the enum by a test.
 */
package org.bankturn.result;
