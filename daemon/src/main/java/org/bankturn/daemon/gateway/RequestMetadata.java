package org.bankturn.daemon.gateway;

/**
 * What a caller says of its request.
 *
 * @param id the request's id, not null
 * @param host the host it names, not null
 * @param path the path without the query, not null
 * @param deadlineMillis how long the caller waits, 0 if it does not say
 * @param apiKey the key that speaks for an account, null if there is none
 * @param promptTokens the size of the prompt, 0 if it has none
 * @param maxAnswerTokens the most tokens of the answer, 0 if not told
 * @param answerTokensHint the caller's guess of the answer's tokens, 0 if it has none
 */
public record RequestMetadata(
        String id,
        String host,
        String path,
        long deadlineMillis,
        String apiKey,
        int promptTokens,
        int maxAnswerTokens,
        int answerTokensHint) {}
