import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { AgentHarness } from "./agentHarness.js";

let agent = new AgentHarness();

function readEntries(names: string): void {
    const entries = names.split(",").map(name => ({
        ...agent.identifyEntry(name),
        availabilityZone: "kolonnawa",
        state: "serving" as const,
        renewedAtMilliseconds: 0,
    }));
    agent.accept({ type: "entriesRead", entries });
}

Given("a registered agent that has not read the entries", () => {
    agent = new AgentHarness();
    agent.startServing(1);
});

Given("a registered agent that reads entries {string} from the registry", (names: string) => {
    agent = new AgentHarness();
    agent.startServing(1);
    readEntries(names);
});

When("the registered agent reads entries {string} from the registry", readEntries);

When("entry {word} pings the registered agent", (entry: string) => {
    agent.send(entry, { type: "ping" });
});

When("entry {word} replies to the registered agent", (entry: string) => {
    agent.send(entry, { type: "pong" });
});

When("entry {word} becomes unreachable for the registered agent", (entry: string) => {
    agent.accept({ type: "peerUnreachable", address: agent.identifyEntry(entry).address });
});

Then("{int} entries have not confirmed the announcement of the registered agent", (count: number) => {
    assert.equal(agent.core.getStatus().unconfirmedEntries, count);
});

Then("all entries know the registered agent", () => {
    assert.equal(agent.core.getStatus().isKnownToEntries, true);
});

Then("not all entries know the registered agent", () => {
    assert.equal(agent.core.getStatus().isKnownToEntries, false);
});
