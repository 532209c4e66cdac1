import { Given, Then, When } from "@cucumber/cucumber";
import * as fastCheck from "fast-check";
import assert from "node:assert/strict";
import { ByteCollector } from "../byteCollector.js";

let collector = new ByteCollector();
let joined: Buffer = Buffer.alloc(0);

Then("{int} random sequences of parts with seed {int} are joined to what was added", (count: number, seed: number) => {
    const part = fastCheck.oneof(
        fastCheck.uint8Array({ maxLength: 20 }),
        fastCheck.uint8Array({ minLength: 3000, maxLength: 9000, size: "max" }),
    );
    const sequences = fastCheck.array(part, { maxLength: 12 });
    fastCheck.assert(
        fastCheck.property(sequences, fastCheck.nat(12), (parts, joinedAt) => {
            const collected = new ByteCollector();
            parts.forEach((bytes, index) => {
                collected.add(Buffer.from(bytes));
                if (index === joinedAt) {
                    assert.deepEqual(collected.concat(), Buffer.concat(parts.slice(0, index + 1)));
                }
            });
            assert.equal(collected.length, parts.reduce((sum, { length }) => sum + length, 0));
            assert.deepEqual(collected.concat(), Buffer.concat(parts));
        }),
        { numRuns: count, seed },
    );
});

When("{int} bytes are collected in parts of {int} bytes", (bytes: number, size: number) => {
    collector = new ByteCollector();
    for (let start = 0; start < bytes; start += size) {
        collector.add(Buffer.alloc(size));
    }
});

When(
    "{int} parts of {int} bytes of blocks of {int} bytes are collected",
    (count: number, size: number, block: number) => {
        collector = new ByteCollector();
        for (let part = 0; part < count; part += 1) {
            collector.add(Buffer.alloc(block).subarray(0, size));
        }
    },
);

Then("they take at most {int} bytes of memory", (bytes: number) => {
    assert.ok(collector.heldBytes <= bytes, `${collector.heldBytes} bytes`);
});

Given("{int} bytes in parts of {int} bytes were joined and forgotten", (bytes: number, size: number) => {
    collector = new ByteCollector();
    for (let start = 0; start < bytes; start += size) {
        collector.add(Buffer.alloc(size, "a"));
    }
    joined = collector.concat();
    collector.clear();
});

When("other bytes are collected", () => {
    collector.add(Buffer.alloc(10_000, "b"));
    collector.add(Buffer.alloc(10_000, "b"));
});

Then("the joined bytes are those that were added", () => {
    assert.deepEqual(joined, Buffer.alloc(9000, "a"));
});
