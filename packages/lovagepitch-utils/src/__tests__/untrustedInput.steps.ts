import { Then } from "@cucumber/cucumber";
import * as fastCheck from "fast-check";
import assert from "node:assert/strict";
import * as z from "zod/mini";
import { hasTooManyElements, parseUntrustedJson } from "../untrustedJson.js";
import { describeFault, listOf, validateValue } from "../validateValue.js";

/** Elements of lists by their names in scenarios, as JSON. */
const elements: Readonly<Record<string, string>> = {
    "numbers": "1",
    "texts": "\"a\"",
    "empty objects": "{}",
    "objects of one field": "{\"a\":1}",
    "texts of 1000 commas": `"${",".repeat(1000)}"`,
    "texts of 1000 brackets": `"${"[{:".repeat(334)}"`,
    "texts of escaped marks": `"${"\\\",\\\\".repeat(400)}"`,
};

Then(
    "{int} random lists of JSON values with seed {int}, each longer than {int} bytes, are parsed as they were written",
    (count: number, seed: number, minimumBytes: number) => {
        const values = fastCheck.array(fastCheck.jsonValue(), { minLength: 1, maxLength: 20 });
        fastCheck.assert(
            fastCheck.property(values, list => {
                const text = JSON.stringify([...list, "x".repeat(minimumBytes)]);
                assert.deepEqual(parseUntrustedJson(Buffer.from(text)), JSON.parse(text));
            }),
            { numRuns: count, seed },
        );
    },
);

Then(/^a list of (\d+) (.*) is (parsed|not parsed)$/, (count: number, name: string, outcome: string) => {
    const element = elements[name];
    assert.ok(element);
    const value = parseUntrustedJson(Buffer.from(`[${Array.from({ length: count }, () => element).join(",")}]`));
    assert.equal(Array.isArray(value) ? value.length : undefined, outcome === "parsed" ? count : undefined);
});

Then(
    "{int} random texts with seed {int} do not hide {int} numbers behind them",
    (runs: number, seed: number, count: number) => {
        const numbers = "1,".repeat(count);
        const text = fastCheck.string({ unit: fastCheck.constantFrom("\"", "\\", "[", ",", "a", "\n", "é") });
        fastCheck.assert(
            fastCheck.property(text, hidden => {
                assert.ok(hasTooManyElements(Buffer.from(`[${JSON.stringify(hidden)},${numbers}1]`)));
            }),
            { numRuns: runs, seed },
        );
    },
);

/** Creates schemas whose lists hold elements that the given check accepts, and puts a list where the schema has it. */
function createListSchemas(
    accepts: () => boolean,
): readonly (readonly [z.ZodMiniType, (list: unknown[]) => unknown])[] {
    const element = z.custom<unknown>(accepts);
    return [
        [listOf(element), list => list],
        [listOf(z.number().check(z.refine(accepts))), list => list],
        [listOf(z.object({ a: element })), list => list.map(value => ({ a: value }))],
        [listOf(z.tuple([element], z.unknown())), list => list.map(value => [value])],
        [z.object({ a: z._default(listOf(element), []) }), list => ({ a: list })],
        [z.object({ a: z.optional(listOf(z.object({ b: listOf(element) }))) }), list => ({ a: [{ b: list }] })],
    ];
}

Then(
    "lists of {int} elements are validated up to the first of their faults, with seed {int}",
    (count: number, seed: number) => {
        const list = Array.from({ length: count }, () => 1);
        fastCheck.assert(
            fastCheck.property(fastCheck.nat(5), fastCheck.nat(count - 2), (kind, firstFault) => {
                let checked = 0;
                const [schema, wrap] = createListSchemas(() => {
                    checked += 1;
                    return checked <= firstFault;
                })[kind] ?? [];
                assert.ok(schema && wrap);
                const result = validateValue(schema, wrap(list));
                assert.ok(result.err);
                assert.equal(checked, firstFault + 1);
            }),
            { numRuns: 60, seed },
        );
    },
);

Then(
    "the description of a fault in a field with a name of {int} characters has at most {int} characters",
    (length: number, maximum: number) => {
        const result = validateValue(z.record(z.string(), z.string()), { ["a".repeat(length)]: 1 });
        assert.ok(result.err);
        const { length: described } = describeFault(result.val);
        assert.ok(described > 0 && described <= maximum, `${described} characters`);
    },
);
