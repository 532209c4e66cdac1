import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { EntryLocation } from "../model/entryLocation.js";
import { heartbeatIntervalMilliseconds } from "../model/timing.js";
import { CapacitySearch } from "../policies/capacitySearch.js";
import { choosePartners, rankPartner } from "../policies/partnerChoice.js";
import { getUpdateIntervalMilliseconds } from "../policies/updateInterval.js";

const limits = { ownZone: 3, total: 5 };

interface Agent {
    readonly instance: string;
    readonly availabilityZone: string;
}

let waitingTasks = 0;
let gainsAgents = false;

function createEntries(count: number, zones: number): readonly EntryLocation[] {
    return Array.from({ length: count }, (_, index) => ({
        address: `10.1.${index % zones}.${index}:7720`,
        availabilityZone: `zone-${index % zones}`,
    }));
}

function createAgents(count: number, zones: number): readonly Agent[] {
    return Array.from({ length: count }, (_, index) => ({
        instance: `agent-${index}`,
        availabilityZone: `zone-${index % zones}`,
    }));
}

function choose(agent: Agent, entries: readonly EntryLocation[]): readonly string[] {
    const ranked = entries.map(entry => ({ ...entry, rank: rankPartner(agent.instance, entry.address) }));
    return choosePartners(agent.availabilityZone, ranked, limits);
}

/** Lists the instants at which requests are made, in milliseconds, and the number of agents of each. */
function listRequests(untilMilliseconds: number): readonly { readonly at: number; readonly agents: number }[] {
    const search = new CapacitySearch();
    const requests: { readonly at: number; readonly agents: number }[] = [];
    for (let at = 0; at <= untilMilliseconds; at += 1) {
        const agents = search.countAgentsToRequest(waitingTasks, at);
        if (agents > 0) {
            requests.push({ at, agents });
            if (gainsAgents) {
                search.recordGain();
            }
        }
    }
    return requests;
}

Then(
    "each of {int} agents in {int} zones chooses all of {int} entries",
    (agents: number, zones: number, count: number) => {
        const entries = createEntries(count, zones);
        for (const agent of createAgents(agents, zones)) {
            assert.deepEqual(choose(agent, entries), entries.map(entry => entry.address));
        }
    },
);

Then(
    "each of {int} agents in {int} zones chooses {int} of {int} entries, {int} of them in its own zone",
    (agents: number, zones: number, chosen: number, count: number, ownZone: number) => {
        const entries = createEntries(count, zones);
        for (const agent of createAgents(agents, zones)) {
            const partners = new Set(choose(agent, entries));
            const own = entries.filter(entry =>
                partners.has(entry.address) && entry.availabilityZone === agent.availabilityZone
            );
            assert.equal(partners.size, chosen);
            assert.equal(own.length, ownZone);
        }
    },
);

Then(
    "with {int} agents and {int} entries in {int} zones each entry is chosen by {int} to {int} agents",
    (agents: number, count: number, zones: number, minimum: number, maximum: number) => {
        const entries = createEntries(count, zones);
        const choices = createAgents(agents, zones).flatMap(agent => choose(agent, entries));
        for (const { address } of entries) {
            const choosing = choices.filter(choice => choice === address).length;
            assert.ok(choosing >= minimum && choosing <= maximum, `${address} is chosen by ${choosing} agents`);
        }
    },
);

Then(
    "when one of {int} entries goes, only agents that had chosen it choose another one, and one each",
    (count: number) => {
        const entries = createEntries(count, 5);
        const [gone, ...rest] = entries;
        for (const agent of createAgents(160, 5)) {
            const before = choose(agent, entries);
            const after = new Set(choose(agent, rest));
            const lost = before.filter(address => !after.has(address));
            assert.deepEqual(lost, before.includes(gone?.address ?? "") ? [gone?.address] : []);
        }
    },
);

Then("an agent in a zone without entries chooses {int} of {int} entries", (chosen: number, count: number) => {
    const agent = { instance: "agent-0", availabilityZone: "zone-without-entries" };
    assert.equal(new Set(choose(agent, createEntries(count, 5))).size, chosen);
});

When("{int} tasks wait from 0 ms on", (tasks: number) => {
    waitingTasks = tasks;
    gainsAgents = false;
});

When("{int} tasks wait from 0 ms on and each request gains an agent", (tasks: number) => {
    waitingTasks = tasks;
    gainsAgents = true;
});

Then("agents are requested first after {int} ms, {int} of them", (at: number, agents: number) => {
    assert.deepEqual(listRequests(at), [{ at, agents }]);
});

Then("at most {int} requests are made within {int} ms", (maximum: number, milliseconds: number) => {
    const { length } = listRequests(milliseconds);
    assert.ok(length <= maximum, `${length} requests`);
});

Then("at least {int} requests are made within {int} ms", (minimum: number, milliseconds: number) => {
    const { length } = listRequests(milliseconds);
    assert.ok(length >= minimum, `${length} requests`);
});

Then(
    "changes are reported within {int} ms to an entry with waiting tasks, and within a heartbeat to another",
    (urgentMilliseconds: number) => {
        assert.ok(getUpdateIntervalMilliseconds(true) <= urgentMilliseconds);
        assert.ok(getUpdateIntervalMilliseconds(false) <= heartbeatIntervalMilliseconds);
    },
);
