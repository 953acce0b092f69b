package org.bankturn.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.BitSet;

/** The syntax of the parts of a message head. */
public final class MessageSyntax {
    private static final String TOKEN_SYMBOLS = "!#$%&'*+-.^_`|~";
    private static final BitSet TOKEN = tokenCharacters();
    private static final int MAX_QUOTED_CHARACTERS = 60;
    private static final char DELETE = 0x7f;
    private static final String VERSION_START = "HTTP/1.";

    private MessageSyntax() {}

    private static BitSet tokenCharacters() {
        BitSet allowed = new BitSet();
        allowed.set('0', '9' + 1);
        allowed.set('A', 'Z' + 1);
        allowed.set('a', 'z' + 1);
        for (byte symbol : TOKEN_SYMBOLS.getBytes(StandardCharsets.US_ASCII)) {
            allowed.set(symbol);
        }
        return allowed;
    }

    /** Returns true if the text is a token, such as the name of a field or a method. */
    public static boolean isToken(String text) {
        return !text.isEmpty() && text.chars().allMatch(TOKEN::get);
    }

    /** Returns true if the text holds no control character other than a horizontal tab. */
    public static boolean isFieldContent(String text) {
        for (int index = 0; index < text.length(); index++) {
            char character = text.charAt(index);
            if ((character < ' ' && character != '\t') || character == DELETE) {
                return false;
            }
        }
        return true;
    }

    /** Returns true if the text is a non-empty sequence of digits of the given radix. */
    static boolean isNumber(String text, int radix) {
        return !text.isEmpty() && text.chars().allMatch(character -> Character.digit(character, radix) >= 0);
    }

    /** Returns true if the text names a version of the protocol that this package reads. */
    static boolean isVersion(String text) {
        return text.length() == VERSION_START.length() + 1
                && text.startsWith(VERSION_START)
                && isNumber(text.substring(VERSION_START.length()), 10);
    }

    /**
     * Parses a line with a header or trailer field.
     *
     * @param line the line without its terminator, not null
     * @return the field, not null
     * @throws HttpFormatException if the line is not a field
     */
    static HttpField parseField(String line) throws HttpFormatException {
        int colon = line.indexOf(':');
        if (colon < 0) {
            throw new HttpFormatException("field without a colon: " + quote(line));
        }
        String name = line.substring(0, colon);
        if (!isToken(name)) {
            throw new HttpFormatException("invalid field name: " + quote(name));
        }
        String value = line.substring(colon + 1);
        if (!isFieldContent(value)) {
            throw new HttpFormatException("control character in field " + quote(name));
        }
        return new HttpField(name, value.trim());
    }

    /** Returns the start of received text, printable, for messages. */
    public static String quote(String text) {
        String start = text.length() > MAX_QUOTED_CHARACTERS ? text.substring(0, MAX_QUOTED_CHARACTERS) : text;
        return start.replaceAll("[^ -~]", "?");
    }
}
