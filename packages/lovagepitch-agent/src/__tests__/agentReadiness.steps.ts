import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { AgentHarness } from "./agentHarness.js";

let agent = new AgentHarness();

Given("a registered agent that reads entries {string} from the registry", (names: string) => {
    agent = new AgentHarness();
    agent.startServing(1);
    const entries = names.split(",").map(name => ({
        ...agent.identifyEntry(name),
        availabilityZone: "kolonnawa",
        state: "serving" as const,
        renewedAtMilliseconds: 0,
    }));
    agent.accept({ type: "entriesRead", entries });
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
