import { Then, When } from "@cucumber/cucumber";
import * as fastCheck from "fast-check";
import assert from "node:assert/strict";
import { packFrame } from "../links/framePacker.js";
import { hasTooManyPackedElements } from "../links/packedElements.js";

const maximumElements = 100_000;
const maximumValues = 400_000;

let packed: Buffer = Buffer.alloc(0);

function pack(value: unknown): Buffer {
    return Buffer.from(packFrame(value));
}

When(/^a list of (\d+) (objects with a field|numbers|empty lists) is packed$/, (count: string, kind: string) => {
    const items: Readonly<Record<string, unknown>> = {
        "objects with a field": { a: 1 },
        "numbers": 1,
        "empty lists": [],
    };
    packed = pack(Array.from({ length: Number(count) }, () => items[kind]));
});

When("a text of {int} bytes is packed", (bytes: number) => {
    // Continuation bytes of this text have the values of arrays and maps.
    packed = pack("\u0d80".repeat(bytes / 3));
});

When("a list of {int} objects with {int} fields is packed", (count: number, fields: number) => {
    const item = Object.fromEntries(Array.from({ length: fields }, (_, index) => [`field${index}`, index]));
    packed = pack(Array.from({ length: count }, () => item));
});

Then(/^it is (not unpacked|unpacked)$/, (outcome: string) => {
    assert.equal(hasTooManyPackedElements(packed), outcome === "not unpacked");
});

interface Counts {
    readonly values: number;
    readonly elements: number;
}

function count(value: unknown): Counts {
    if (typeof value !== "object" || value === null) {
        return { values: 1, elements: 0 };
    }
    const isList = Array.isArray(value);
    const fields = Object.values(value);
    const inner = fields.map(count);
    return {
        values: 1 + (isList ? 0 : fields.length) + inner.reduce((sum, { values }) => sum + values, 0),
        elements: 1 + (isList ? 0 : fields.length) + inner.reduce((sum, { elements }) => sum + elements, 0),
    };
}

Then(
    "{int} random values with seed {int}, each repeated in a list, are not unpacked exactly when they have too many elements",
    { timeout: 60_000 },
    (runs: number, seed: number) => {
        const leaf = fastCheck.oneof(
            fastCheck.string({ maxLength: 300 }),
            fastCheck.integer(),
            fastCheck.double(),
            fastCheck.boolean(),
        );
        const value = fastCheck.oneof(
            leaf,
            fastCheck.array(leaf, { maxLength: 40 }),
            fastCheck.dictionary(fastCheck.string({ maxLength: 40 }), leaf, {
                maxKeys: 40,
                noNullPrototype: true,
            }),
        );
        const repetitions = fastCheck.constantFrom(10, 2000, 20_000);
        fastCheck.assert(
            fastCheck.property(value, repetitions, (item, times) => {
                const list = Array.from({ length: times }, () => item);
                const one = count(item);
                const values = 1 + times * one.values;
                const elements = 1 + times * one.elements;
                const bytes = pack(list);
                const isTooMany = bytes.length > maximumElements
                    && (values > maximumValues || elements > maximumElements);
                assert.equal(hasTooManyPackedElements(bytes), isTooMany, `${values} values, ${elements} elements`);
            }),
            { numRuns: runs, seed },
        );
    },
);
