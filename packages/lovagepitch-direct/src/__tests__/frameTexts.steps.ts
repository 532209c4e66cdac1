import { Then } from "@cucumber/cucumber";
import fastCheck from "fast-check";
import assert from "node:assert/strict";
import { AgentFrameFormat } from "../links/agentFrameFormat.js";
import { EntryFrameFormat } from "../links/entryFrameFormat.js";
import { isAgentFrame, isEntryFrame } from "../links/frameGuards.js";
import { packFrame, unpackFrame } from "../links/framePacker.js";
import { createOrder } from "./agentDriver.js";
import {
    assertTransferred,
    createAgentFrame,
    createEntryFrame,
    exampleCapacity,
    isPreserved,
} from "./frameExamples.js";

/** Any sequence of code units, also one that is not valid Unicode, and texts of the lengths at which decoders differ. */
const anyText = fastCheck.tuple(
    fastCheck.array(fastCheck.oneof(fastCheck.nat(0xffff), fastCheck.constantFrom(0xfeff, 0xfffe, 0xd83c, 0xdf3f, 0)), {
        maxLength: 4,
    }),
    fastCheck.constantFrom("", "x", "\u00e9", "\u20ac", "\u{1f33f}", "\ufeff", "\"", "\ud800"),
    fastCheck.oneof(
        fastCheck.nat(80),
        fastCheck.constantFrom(127, 128, 254, 255, 256, 1365, 4000, 21_845, 32_767, 65_534, 65_535, 65_536),
    ),
    fastCheck.string({ unit: "binary", maxLength: 3 }),
).map(([units, filler, length, end]) => String.fromCharCode(...units) + filler.repeat(length) + end);

/** Entry frames of which all texts are any, and the frame as the agent receives it. */
const textFrame = fastCheck.tuple(anyText, anyText, anyText).map(([first, second, third]) =>
    createEntryFrame({
        entry: first,
        starts: [{
            ...createOrder(first),
            service: second,
            specification: third,
            requiredLabel: first,
            route: second,
        }],
        stops: [{ job: first, task: 1, run: 1 }],
        crashes: [{
            id: second,
            instance: third,
            service: first,
            ageMilliseconds: 1,
            runs: [{ job: third, task: 1, route: second, ageMilliseconds: 1 }],
        }],
        evacuations: { revision: 1, zones: [first, second] },
    })
);

Then("any text in a frame is received as it was sent", () => {
    assertTransferred(textFrame, () => new EntryFrameFormat(), isEntryFrame);
    const agentTextFrame = fastCheck.tuple(anyText, anyText).map(([first, second]) =>
        createAgentFrame({
            agent: first,
            instance: second,
            availabilityZone: first,
            worker: {
                service: first,
                labels: [first, second],
                capacity: exampleCapacity,
                free: exampleCapacity,
                awaited: exampleCapacity,
                acceptsTasks: true,
                isOnTrial: false,
                latestReport: { worker: second, workerClock: 1 },
            },
            ended: [{ job: second, task: 1, run: 1, end: "failed", ranMilliseconds: 5 }],
        })
    );
    assertTransferred(agentTextFrame, () => new AgentFrameFormat(), isAgentFrame);
});

Then("a long text that begins with any code unit is received as it was sent", () => {
    for (let unit = 0; unit <= 0xffff; unit += 1) {
        const text = String.fromCharCode(unit) + "x".repeat(70);
        assert.equal(unpackFrame(packFrame(text)), text);
    }
});

Then(/^a text with a byte order mark and any length up to 70,000 bytes is received as it was sent$/, () => {
    const limits = [256, 512, 4096, 32_768, 65_536, 70_000];
    const lengths = Array.from({ length: 300 }, (_, length) => length)
        .concat(limits.flatMap(limit => Array.from({ length: 12 }, (_, index) => limit - 6 + index)));
    for (const filler of ["x", "\u00e9", "\u20ac"]) {
        for (const length of lengths) {
            const text = "\ufeff" + filler.repeat(length / Buffer.byteLength(filler));
            assert.deepEqual(unpackFrame(packFrame([text, { field: text }])), [text, { field: text }]);
        }
    }
});

Then("any fields of a frame that this version does not know are received as they were sent", () => {
    const name = fastCheck.oneof(
        anyText,
        fastCheck.constantFrom("__proto__", "constructor", "\ufeff" + "x".repeat(70)),
    );
    const value = fastCheck.letrec<{ readonly any: unknown }>(tie => ({
        any: fastCheck.oneof(
            { depthSize: "small" },
            anyText,
            fastCheck.double({ noNaN: true }).filter(isPreserved),
            fastCheck.boolean(),
            fastCheck.array(tie("any"), { maxLength: 3 }),
            fastCheck.array(fastCheck.tuple(name, tie("any")), { maxLength: 3 }).map(Object.fromEntries),
        ),
    })).any;
    const property = fastCheck.property(value, sent => assert.deepEqual(unpackFrame(packFrame(sent)), sent));
    fastCheck.assert(property, { numRuns: 500, seed: 1 });
});
