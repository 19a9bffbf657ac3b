/* A recursive descent parser for the grammar of JSON (RFC 8259). Each function consumes one element of the text, or
 * returns false and sets error when there is none. */
#include "scan.h"

#include <glib.h>
#include <string.h>

/* Records the first error. Returns false, for the caller to return. */
static bool scan_failed(Scan *scan, const char *error)
{
    if (scan->error == NULL)
        scan->error = error;
    return false;
}

/* Returns the next byte; 0 at the end, which is unambiguous since the text contains no zero byte. */
static char peek(const Scan *scan)
{
    return scan->at < scan->count ? scan->text[scan->at] : '\0';
}

static void skip_blanks(Scan *scan)
{
    while (peek(scan) == ' ' || peek(scan) == '\t' || peek(scan) == '\n' || peek(scan) == '\r')
        scan->at++;
}

static bool scan_literal(Scan *scan, const char *word)
{
    const size_t length = strlen(word);
    if (scan->count - scan->at < length || memcmp(scan->text + scan->at, word, length) != 0)
        return scan_failed(scan, "expected a JSON value");
    scan->at += length;
    return true;
}

static bool scan_digits(Scan *scan)
{
    const size_t from = scan->at;
    while (peek(scan) >= '0' && peek(scan) <= '9')
        scan->at++;
    return scan->at > from || scan_failed(scan, "expected a digit");
}

static bool scan_number(Scan *scan)
{
    if (peek(scan) == '-')
        scan->at++;
    const bool zero = peek(scan) == '0';
    const size_t from = scan->at;
    if (!scan_digits(scan))
        return false;
    if (zero && scan->at > from + 1)
        return scan_failed(scan, "a number must not begin with 0");
    if (peek(scan) == '.') {
        scan->at++;
        if (!scan_digits(scan))
            return false;
    }
    if (peek(scan) == 'e' || peek(scan) == 'E') {
        scan->at++;
        if (peek(scan) == '+' || peek(scan) == '-')
            scan->at++;
        if (!scan_digits(scan))
            return false;
    }
    return true;
}

/* Consumes the four hexadecimal digits after \u. */
static bool scan_code_unit(Scan *scan, unsigned *unit)
{
    *unit = 0;
    for (int i = 0; i < 4; i++, scan->at++) {
        const int digit = g_ascii_xdigit_value(peek(scan));
        if (digit < 0)
            return scan_failed(scan, "four hexadecimal digits must follow \\u");
        *unit = *unit * 16 + (unsigned)digit;
    }
    return true;
}

/* Consumes an escape sequence after its backslash. A key must not contain a zero character, where json-c would truncate
 * it. */
static bool scan_escape(Scan *scan, bool key)
{
    const char letter = peek(scan);
    if (letter == '\0' || strchr("\"\\/bfnrtu", letter) == NULL)
        return scan_failed(scan, "invalid escape sequence");
    scan->at++;
    unsigned unit, low;
    if (letter != 'u')
        return true;
    if (!scan_code_unit(scan, &unit))
        return false;
    if (key && unit == 0)
        return scan_failed(scan, "zero character in a key");
    if (unit < 0xd800 || unit > 0xdfff)
        return true;
    if (unit > 0xdbff || peek(scan) != '\\')
        return scan_failed(scan, "unpaired surrogate");
    scan->at++;
    if (peek(scan) != 'u')
        return scan_failed(scan, "unpaired surrogate");
    scan->at++;
    if (!scan_code_unit(scan, &low))
        return false;
    return (low >= 0xdc00 && low <= 0xdfff) || scan_failed(scan, "unpaired surrogate");
}

static bool scan_string(Scan *scan, bool key)
{
    scan->at++; /* skip the opening quote */
    for (;;) {
        if (scan->at >= scan->count)
            return scan_failed(scan, "the text ends too early");
        const char letter = scan->text[scan->at];
        if (letter == '"') {
            scan->at++;
            return true;
        }
        if ((unsigned char)letter < ' ')
            return scan_failed(scan, "unescaped control character in a string");
        scan->at++;
        if (letter == '\\' && !scan_escape(scan, key))
            return false;
    }
}

static bool scan_value(Scan *scan);

/* Consumes the members of an object, or the elements of an array, up to and including the closing bracket. */
static bool scan_members(Scan *scan, char close, bool members)
{
    if (++scan->depth > scan->depth_max)
        return scan_failed(scan, "nested too deeply");
    scan->at++;
    skip_blanks(scan);
    bool more = peek(scan) != close;
    while (more) {
        skip_blanks(scan);
        if (members) {
            if (peek(scan) != '"')
                return scan_failed(scan, scan->at < scan->count ? "expected a key" : "the text ends too early");
            if (!scan_string(scan, true))
                return false;
            scan->members++;
            skip_blanks(scan);
            if (peek(scan) != ':')
                return scan_failed(scan, scan->at < scan->count ? "expected a colon" : "the text ends too early");
            scan->at++;
        }
        if (!scan_value(scan))
            return false;
        skip_blanks(scan);
        more = peek(scan) == ',';
        if (more)
            scan->at++;
        else if (peek(scan) != close)
            return scan_failed(scan, scan->at < scan->count ? "expected a comma or a closing bracket"
                                                            : "the text ends too early");
    }
    scan->at++;
    scan->depth--;
    return true;
}

static bool scan_value(Scan *scan)
{
    skip_blanks(scan);
    const char letter = peek(scan);
    scan->values++;
    switch (letter) {
    case '{':
        scan->objects++;
        return scan_members(scan, '}', true);
    case '[':
        return scan_members(scan, ']', false);
    case '"':
        return scan_string(scan, false);
    case 't':
        return scan_literal(scan, "true");
    case 'f':
        return scan_literal(scan, "false");
    case 'n':
        return scan_literal(scan, "null");
    default:
        if (letter == '-' || (letter >= '0' && letter <= '9'))
            return scan_number(scan);
        return scan_failed(scan, scan->at < scan->count ? "expected a JSON value" : "the text ends too early");
    }
}

bool scan_text(Scan *scan)
{
    const char *end;
    if (!g_utf8_validate(scan->text, (gssize)scan->count, &end)) {
        scan->at = (size_t)(end - scan->text);
        return scan_failed(scan, *end == '\0' ? "zero byte in the text" : "invalid UTF-8");
    }
    if (!scan_value(scan))
        return false;
    skip_blanks(scan);
    return scan->at == scan->count || scan_failed(scan, "unexpected text follows the document");
}
