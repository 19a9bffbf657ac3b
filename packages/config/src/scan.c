#include "scan.h"

#include <glib.h>
#include <string.h>

static bool stop(Scan *scan, const char *wrong)
{
    if (scan->wrong == NULL)
        scan->wrong = wrong;
    return false;
}

/* 0 at the end: there is no zero byte inside. */
static char peek(const Scan *scan)
{
    return scan->at < scan->count ? scan->text[scan->at] : '\0';
}

static void skipBlanks(Scan *scan)
{
    while (peek(scan) == ' ' || peek(scan) == '\t' || peek(scan) == '\n' || peek(scan) == '\r')
        scan->at++;
}

static bool takeWord(Scan *scan, const char *word)
{
    const size_t length = strlen(word);
    if (scan->count - scan->at < length || memcmp(scan->text + scan->at, word, length) != 0)
        return stop(scan, "is no value");
    scan->at += length;
    return true;
}

static bool takeDigits(Scan *scan)
{
    const size_t from = scan->at;
    while (peek(scan) >= '0' && peek(scan) <= '9')
        scan->at++;
    return scan->at > from || stop(scan, "a digit is missing");
}

static bool takeNumber(Scan *scan)
{
    if (peek(scan) == '-')
        scan->at++;
    const bool zero = peek(scan) == '0';
    const size_t from = scan->at;
    if (!takeDigits(scan))
        return false;
    if (zero && scan->at > from + 1)
        return stop(scan, "a number begins with 0");
    if (peek(scan) == '.') {
        scan->at++;
        if (!takeDigits(scan))
            return false;
    }
    if (peek(scan) == 'e' || peek(scan) == 'E') {
        scan->at++;
        if (peek(scan) == '+' || peek(scan) == '-')
            scan->at++;
        if (!takeDigits(scan))
            return false;
    }
    return true;
}

/* The four digits after \u. */
static bool takeUnit(Scan *scan, unsigned *unit)
{
    *unit = 0;
    for (int i = 0; i < 4; i++, scan->at++) {
        const int digit = g_ascii_xdigit_value(peek(scan));
        if (digit < 0)
            return stop(scan, "four digits must follow \\u");
        *unit = *unit * 16 + (unsigned)digit;
    }
    return true;
}

static bool takeEscape(Scan *scan, bool key)
{
    const char letter = peek(scan);
    if (letter == '\0' || strchr("\"\\/bfnrtu", letter) == NULL)
        return stop(scan, "is no escape");
    scan->at++;
    unsigned unit, low;
    if (letter != 'u')
        return true;
    if (!takeUnit(scan, &unit))
        return false;
    if (key && unit == 0)
        return stop(scan, "a zero in a key");
    if (unit < 0xd800 || unit > 0xdfff)
        return true;
    if (unit > 0xdbff || peek(scan) != '\\')
        return stop(scan, "half a pair of \\u");
    scan->at++;
    if (peek(scan) != 'u')
        return stop(scan, "half a pair of \\u");
    scan->at++;
    if (!takeUnit(scan, &low))
        return false;
    return (low >= 0xdc00 && low <= 0xdfff) || stop(scan, "half a pair of \\u");
}

static bool takeString(Scan *scan, bool key)
{
    scan->at++; /* the opening quote */
    for (;;) {
        if (scan->at >= scan->count)
            return stop(scan, "the text ends too early");
        const char letter = scan->text[scan->at];
        if (letter == '"') {
            scan->at++;
            return true;
        }
        if ((unsigned char)letter < ' ')
            return stop(scan, "a control character in a string");
        scan->at++;
        if (letter == '\\' && !takeEscape(scan, key))
            return false;
    }
}

static bool takeValue(Scan *scan);

/* The members or elements up to the closing mark. */
static bool takeMany(Scan *scan, char close, bool members)
{
    if (++scan->depth > scan->depthMost)
        return stop(scan, "is nested too deeply");
    scan->at++;
    skipBlanks(scan);
    bool more = peek(scan) != close;
    while (more) {
        skipBlanks(scan);
        if (members) {
            if (peek(scan) != '"')
                return stop(scan, scan->at < scan->count ? "a key is missing" : "the text ends too early");
            if (!takeString(scan, true))
                return false;
            scan->members++;
            skipBlanks(scan);
            if (peek(scan) != ':')
                return stop(scan, scan->at < scan->count ? "a colon is missing" : "the text ends too early");
            scan->at++;
        }
        if (!takeValue(scan))
            return false;
        skipBlanks(scan);
        more = peek(scan) == ',';
        if (more)
            scan->at++;
        else if (peek(scan) != close)
            return stop(scan, scan->at < scan->count ? "a comma or the end is missing" : "the text ends too early");
    }
    scan->at++;
    scan->depth--;
    return true;
}

static bool takeValue(Scan *scan)
{
    skipBlanks(scan);
    const char letter = peek(scan);
    switch (letter) {
    case '{':
        return takeMany(scan, '}', true);
    case '[':
        return takeMany(scan, ']', false);
    case '"':
        return takeString(scan, false);
    case 't':
        return takeWord(scan, "true");
    case 'f':
        return takeWord(scan, "false");
    case 'n':
        return takeWord(scan, "null");
    default:
        if (letter == '-' || (letter >= '0' && letter <= '9'))
            return takeNumber(scan);
        return stop(scan, scan->at < scan->count ? "is no value" : "the text ends too early");
    }
}

bool scanText(Scan *scan)
{
    const char *end;
    if (!g_utf8_validate(scan->text, (gssize)scan->count, &end)) {
        scan->at = (size_t)(end - scan->text);
        return stop(scan, *end == '\0' ? "a zero byte in the text" : "is no UTF-8");
    }
    if (!takeValue(scan))
        return false;
    skipBlanks(scan);
    return scan->at == scan->count || stop(scan, "something follows the document");
}
