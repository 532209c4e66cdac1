import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { runAgent } from "../process/runAgent.js";
import { readCommandLine } from "../readCommandLine.js";

Then("the agent's arguments {string} name the settings file {string}", async (text: string, expected: string) => {
    assert.equal(await readCommandLine(text.split(" ")), expected);
});

Then(
    "running an agent with {string} fails with {string} and {string}",
    async (path: string, fileName: string, part: string) => {
        await assert.rejects(runAgent(path), (error: Error) => {
            return error.name === "ConfigurationError" && error.message.includes(fileName)
                && error.message.includes(part);
        });
    },
);
