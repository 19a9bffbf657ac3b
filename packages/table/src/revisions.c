#include "table/revisions.h"

#include <string.h>
#include <talloc.h>

#include "base/constants.h"
#include "document/document.h"

SHAPE_TABLE(Revision, REVISION_FIELDS)

Revisions *revisionsNew(void *mem, size_t keep, size_t known)
{
    Revisions *revisions = talloc_zero(mem, Revisions);
    revisions->keep = keep;
    revisions->known = known;
    return revisions;
}

uint64_t revisionsNewest(const Revisions *revisions)
{
    return revisions->count > 0 ? revisions->rows[revisions->count - 1].revision : 0;
}

const ConfigLimits *revisionsLimits(const Revisions *revisions)
{
    static const ConfigLimits NONE = {0};
    return revisions->count > 0 ? &revisions->rows[revisions->count - 1].limits : &NONE;
}

size_t revisionsSize(const Revisions *revisions)
{
    size_t size = 0;
    for (size_t i = revisions->count; i > revisions->whole; i--) {
        size += strlen(revisions->rows[i - 1].text);
        if (!revisions->rows[i - 1].patch)
            break;
    }
    return size;
}

uint64_t revisionsDigest(const Revisions *revisions, const char *digest)
{
    for (size_t i = revisions->count; digest[0] != '\0' && i > 0; i--)
        if (strcmp(revisions->rows[i - 1].digest, digest) == 0)
            return revisions->rows[i - 1].revision;
    return 0;
}

/* --- reading ------------------------------------------------------------------- */

/* The tree at a row, from the last whole text before it or, where that is later,
 * from the row that have is of. */
static json_object *treeAt(const Revisions *revisions, size_t at, json_object *have, uint64_t haveRevision)
{
    size_t from = at;
    while (revisions->rows[from].patch && !(have != NULL && revisions->rows[from].revision == haveRevision))
        from--;
    const Revision *first = &revisions->rows[from];
    json_object *tree =
        have != NULL && first->revision == haveRevision ? json_object_get(have) : document_parse(first->text);
    const char **patches = talloc_array(NULL, const char *, (unsigned)(at - from));
    for (size_t i = from; i < at; i++)
        patches[i - from] = revisions->rows[i + 1].text;
    json_object *result = document_merged_all(tree, patches, at - from);
    talloc_free(patches);
    json_object_put(tree);
    return result;
}

static const char *textAt(const Revisions *revisions, void *mem, size_t at)
{
    if (!revisions->rows[at].patch) /* as it was sent */
        return talloc_strdup(mem, revisions->rows[at].text);
    json_object *tree = treeAt(revisions, at, NULL, 0);
    const char *text = document_text(mem, tree);
    json_object_put(tree);
    return text;
}

const char *revisionsText(const Revisions *revisions, void *mem, uint64_t revision)
{
    for (size_t i = revisions->whole; i < revisions->count; i++)
        if (revisions->rows[i].revision == revision)
            return textAt(revisions, mem, i);
    return NULL;
}

json_object *revisionsTree(const Revisions *revisions, json_object *have, uint64_t haveRevision)
{
    return revisions->count > 0 ? treeAt(revisions, revisions->count - 1, have, haveRevision) : NULL;
}

/* --- keeping ---------------------------------------------------------------------- */

static void textSet(Revisions *revisions, Revision *row, const char *text)
{
    revisions->bytes -= strlen(row->text);
    talloc_free((void *)(uintptr_t)row->text);
    row->text = text;
    revisions->bytes += strlen(text);
}

static void wholeMeasure(Revisions *revisions)
{
    revisions->wholeBytes = revisions->whole < revisions->count ? strlen(revisions->rows[revisions->whole].text) : 0;
}

/* The row becomes the first whole one; the texts before it are dropped. */
static void wholeSet(Revisions *revisions, size_t at)
{
    Revision *row = &revisions->rows[at];
    if (row->patch) {
        textSet(revisions, row, textAt(revisions, revisions, at));
        row->patch = false;
    }
    for (size_t i = revisions->whole; i < at; i++)
        textSet(revisions, &revisions->rows[i], talloc_strdup(revisions, ""));
    revisions->whole = at;
    wholeMeasure(revisions);
}

static void rowsDrop(Revisions *revisions, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        talloc_free((void *)(uintptr_t)revisions->rows[i].text);
        talloc_free((void *)(uintptr_t)revisions->rows[i].digest);
    }
    revisions->count -= count;
    revisions->whole -= count;
    memmove(revisions->rows, revisions->rows + count, revisions->count * sizeof(*revisions->rows));
}

/* Texts and rows go by CONFIG_HISTORY_STEP at once: making a patch whole costs a reading. */
static void trim(Revisions *revisions)
{
    if (revisions->count - revisions->whole > revisions->keep + CONFIG_HISTORY_STEP)
        wholeSet(revisions, revisions->count - revisions->keep);
    if (revisions->count > revisions->known + CONFIG_HISTORY_STEP) {
        const size_t drop = revisions->count - revisions->known;
        if (revisions->whole < drop)
            wholeSet(revisions, drop);
        rowsDrop(revisions, drop);
    }
    size_t at = revisions->whole, beside = revisions->bytes - revisions->wholeBytes;
    if (beside <= CONFIG_HISTORY_BYTES)
        return;
    while (beside > CONFIG_HISTORY_BYTES / 2) /* at the newest it is 0 */
        beside -= strlen(revisions->rows[++at].text);
    wholeSet(revisions, at);
}

static void row_add(Revisions *revisions, const Revision *row)
{
    revisions->rows = talloc_realloc(revisions, revisions->rows, Revision, (unsigned)(revisions->count + 1));
    Revision *kept = &revisions->rows[revisions->count++];
    *kept = *row;
    kept->text = talloc_strdup(revisions, row->text);
    kept->digest = talloc_strdup(revisions, row->digest);
    revisions->bytes += strlen(kept->text);
}

void revisionsAdd(Revisions *revisions, const Revision *row)
{
    row_add(revisions, row);
    if (revisions->count == 1)
        wholeMeasure(revisions);
    trim(revisions);
}

void revisionsLoad(Revisions *revisions, const Revision *rows, size_t count)
{
    for (size_t i = 0; i < count; i++)
        row_add(revisions, &rows[i]);
    while (revisions->whole < revisions->count && revisions->rows[revisions->whole].text[0] == '\0')
        revisions->whole++;
    wholeMeasure(revisions);
}
