import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, whole numbers are longs. */
final class Json {
    private final String text;
    private int position;

    private Json(String text) {
        this.text = text;
    }

    static Object parse(String text) {
        Json reader = new Json(text);
        Object value = reader.value();
        reader.skipSpace();
        if (reader.position != text.length()) throw new IllegalArgumentException("text after the JSON value");
        return value;
    }

    @SuppressWarnings("unchecked")
    static Map<String, Object> object(String text) {
        return (Map<String, Object>) parse(text);
    }

    /** Returns a map of the given names and values. */
    static Map<String, Object> of(Object... namesAndValues) {
        Map<String, Object> map = new LinkedHashMap<>();
        for (int i = 0; i < namesAndValues.length; i += 2) map.put((String) namesAndValues[i], namesAndValues[i + 1]);
        return map;
    }

    static long number(Map<String, Object> map, String name, long missing) {
        return map.get(name) instanceof Number number ? number.longValue() : missing;
    }

    static String string(Map<String, Object> map, String name) {
        return map.get(name) instanceof String string ? string : "";
    }

    static String write(Object value) {
        StringBuilder out = new StringBuilder();
        write(value, out);
        return out.toString();
    }

    private static void write(Object value, StringBuilder out) {
        if (value instanceof Map<?, ?> map) {
            out.append('{');
            String separator = "";
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                out.append(separator);
                write(String.valueOf(entry.getKey()), out);
                out.append(':');
                write(entry.getValue(), out);
                separator = ",";
            }
            out.append('}');
        } else if (value instanceof Iterable<?> list) {
            out.append('[');
            String separator = "";
            for (Object element : list) {
                out.append(separator);
                write(element, out);
                separator = ",";
            }
            out.append(']');
        } else if (value instanceof String string) {
            out.append('"');
            for (char c : string.toCharArray()) {
                if (c == '"' || c == '\\') out.append('\\').append(c);
                else if (c < ' ') out.append(String.format("\\u%04x", (int) c));
                else out.append(c);
            }
            out.append('"');
        } else {
            out.append(value);
        }
    }

    private Object value() {
        skipSpace();
        char c = text.charAt(position);
        if (c == '{') return map();
        if (c == '[') return list();
        if (c == '"') return string();
        int start = position;
        while (position < text.length() && "+-.eE".indexOf(text.charAt(position)) >= 0
            || position < text.length() && Character.isLetterOrDigit(text.charAt(position))) position++;
        String word = text.substring(start, position);
        return switch (word) {
            case "true" -> true;
            case "false" -> false;
            case "null" -> null;
            default -> word.matches("-?\\d+") ? (Object) Long.parseLong(word) : (Object) Double.parseDouble(word);
        };
    }

    private Map<String, Object> map() {
        Map<String, Object> map = new LinkedHashMap<>();
        position++;
        skipSpace();
        while (text.charAt(position) != '}') {
            skipSpace();
            String name = string();
            skipSpace();
            expect(':');
            map.put(name, value());
            skipSpace();
            if (text.charAt(position) == ',') position++;
            skipSpace();
        }
        position++;
        return map;
    }

    private List<Object> list() {
        List<Object> list = new ArrayList<>();
        position++;
        skipSpace();
        while (text.charAt(position) != ']') {
            list.add(value());
            skipSpace();
            if (text.charAt(position) == ',') position++;
            skipSpace();
        }
        position++;
        return list;
    }

    private String string() {
        expect('"');
        StringBuilder out = new StringBuilder();
        while (text.charAt(position) != '"') {
            char c = text.charAt(position++);
            if (c != '\\') {
                out.append(c);
                continue;
            }
            char escaped = text.charAt(position++);
            switch (escaped) {
                case 'n' -> out.append('\n');
                case 't' -> out.append('\t');
                case 'r' -> out.append('\r');
                case 'b' -> out.append('\b');
                case 'f' -> out.append('\f');
                case 'u' -> {
                    out.append((char) Integer.parseInt(text.substring(position, position + 4), 16));
                    position += 4;
                }
                default -> out.append(escaped);
            }
        }
        position++;
        return out.toString();
    }

    private void expect(char c) {
        if (text.charAt(position) != c) throw new IllegalArgumentException("expected " + c + " at " + position);
        position++;
    }

    private void skipSpace() {
        while (position < text.length() && Character.isWhitespace(text.charAt(position))) position++;
    }
}
