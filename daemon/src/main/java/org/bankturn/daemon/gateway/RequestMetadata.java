package org.bankturn.daemon.gateway;

/**
 * Metadata of a caller's request.
 *
 * @param id the request id, not null
 * @param host the host, without the port, not null
 * @param path the path, without the query, not null
 * @param deadlineMillis the caller's timeout, 0 if not given
 * @param apiKey the API key that identifies an account, null if there is none
 * @param promptTokens the number of prompt tokens, 0 if not given
 * @param maxAnswerTokens the maximum number of response tokens, 0 if not given
 * @param answerTokensHint the caller's estimate of the number of response tokens, 0 if not given
 * @param promptParts the parts of the prompt, not null
 */
public record RequestMetadata(
        String id,
        String host,
        String path,
        long deadlineMillis,
        String apiKey,
        int promptTokens,
        int maxAnswerTokens,
        int answerTokensHint,
        PromptParts promptParts) {}
