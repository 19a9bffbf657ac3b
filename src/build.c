/* config build: builds a complete configuration from a template, its parameters and overlays. */
#include <popt.h>
#include <stdio.h>
#include <string.h>
#include <talloc.h>

#include "config/config.h"
#include "options.h"
#include "template/template.h"

/* Prints the faults of a file or of the generated document; returns EXIT_USAGE. */
static int print_faults(const Faults *faults, const char *source)
{
    for (size_t i = 0; i < faults->count; i++)
        fprintf(stderr, "spancart config build: %s: %s: %s %s\n", source, status_word(faults->list[i].status),
                faults->list[i].path, faults->list[i].text);
    return EXIT_USAGE;
}

/* Parses a JSON file; null, with a fault, if it can't be read. */
static json_object *parse_file(Faults *faults, const char *path)
{
    json_object *object = json_object_from_file(path);
    if (object == NULL)
        fault_add(faults, STATUS_BAD_JSON, path, "can't be read as JSON");
    return object;
}

/* Parses the values of --set, each NAME=VALUE. out: *out, an array. return: its length. */
static size_t parse_values(void *mem, const char *const *assignments, TemplateValue **out, Faults *faults)
{
    size_t count = 0;
    while (assignments != NULL && assignments[count] != NULL)
        count++;
    *out = talloc_zero_array(mem, TemplateValue, (unsigned)count);
    for (size_t i = 0; i < count; i++) {
        const char *equals = strchr(assignments[i], '=');
        if (equals == NULL)
            fault_add(faults, STATUS_BAD_FLAG, "--set", "%s: must be NAME=VALUE", assignments[i]);
        else
            (*out)[i] =
                (TemplateValue){talloc_strndup(mem, assignments[i], (size_t)(equals - assignments[i])), equals + 1};
    }
    return count;
}

/* Builds the complete document; null if there are faults. out: *source, the file to which the faults belong. */
static json_object *build_document(Faults *faults, const char *template_path, const char *const *assignments,
                                   const char *const *overlays, const char **source)
{
    TemplateValue *values;
    *source = template_path;
    const size_t count = parse_values(faults->mem, assignments, &values, faults);
    json_object *template = faults->seen == 0 ? parse_file(faults, template_path) : NULL;
    json_object *document = template != NULL ? template_fill(faults, template, values, count) : NULL;
    json_object_put(template);
    for (size_t i = 0; document != NULL && overlays != NULL && overlays[i] != NULL; i++) {
        *source = overlays[i];
        json_object *overlay = parse_file(faults, overlays[i]);
        json_object *next = overlay != NULL ? template_apply_overlay(faults, document, overlay) : NULL;
        json_object_put(overlay);
        json_object_put(document);
        document = next;
    }
    return document;
}

int run_build(int argc, const char **argv)
{
    char *path = NULL;
    const char **assignments = NULL, **overlays = NULL;
    struct poptOption options[] = {
        {"template", 't', POPT_ARG_STRING, &path, 0, "template file, an object of \"parameters\" and \"template\"",
         "FILE"},
        {"set", 's', POPT_ARG_ARGV, &assignments, 0, "value of a parameter, as JSON or text", "NAME=VALUE"},
        {"overlay", 'o', POPT_ARG_ARGV, &overlays, 0, "overlay file; several are applied in the given order", "FILE"},
        POPT_AUTOHELP POPT_TABLEEND};
    poptContext context = poptGetContext("config build", argc, argv, options, 0);
    const int option = poptGetNextOpt(context);
    void *mem = talloc_new(NULL);
    Faults *faults = talloc_zero(mem, Faults);
    faults->mem = mem;
    int code = EXIT_OK;
    if (option < -1)
        code =
            usage_error("config build", "%s: %s", poptBadOption(context, POPT_BADOPTION_NOALIAS), poptStrerror(option));
    else if (path == NULL || poptPeekArg(context) != NULL)
        code = usage_error("config build", "--template: a file is required, and no arguments besides flags");
    const char *source = path;
    json_object *document = code == EXIT_OK ? build_document(faults, path, assignments, overlays, &source) : NULL;
    if (document != NULL) {
        const char *text = json_object_to_json_string_ext(document, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED |
                                                                        JSON_C_TO_STRING_NOSLASHESCAPE);
        source = "the generated document";
        if (config_read(mem, text, strlen(text), 1, faults) != NULL)
            puts(text);
    }
    if (code == EXIT_OK && faults->seen > 0)
        code = print_faults(faults, source);
    json_object_put(document);
    poptFreeContext(context);
    talloc_free(mem);
    return code;
}
