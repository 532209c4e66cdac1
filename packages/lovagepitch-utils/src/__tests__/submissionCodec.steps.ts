import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { SubmissionCodec } from "../submissionCodec.js";

const codec = new SubmissionCodec("a key of at least thirty-two characters");
let submission = "";

function encode(address: string, sequence: number): string {
    return codec.encode({
        owner: { address, incarnation: "00ff" },
        sequence,
        expiresAtMilliseconds: 1_700_000_000_000,
        registryVersion: 7,
    });
}

Given("an id of owner {string} with sequence {int}", (address: string, sequence: number) => {
    submission = encode(address, sequence);
});

Then("the id decodes to owner {string} with sequence {int}", (address: string, sequence: number) => {
    const identity = new SubmissionCodec("a key of at least thirty-two characters").decode(submission).unwrap();
    assert.equal(identity.owner.address, address);
    assert.equal(identity.sequence, sequence);
    assert.equal(identity.registryVersion, 7);
});

Then("changing any character of an id makes it invalid", () => {
    const original = encode("127.0.0.1:7001", 1);
    for (let position = 0; position < original.length; position += 1) {
        const replacement = original[position] === "7" ? "8" : "7";
        const changed = original.slice(0, position) + replacement + original.slice(position + 1);
        assert.ok(codec.decode(changed).err, `position ${position}`);
    }
});
