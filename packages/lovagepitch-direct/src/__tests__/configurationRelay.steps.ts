import { Given, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import assert from "node:assert/strict";
import { AgentCore } from "../agent/agentCore.js";
import type { AgentInput } from "../agent/agentPorts.js";
import type { DispatchConfiguration } from "../model/dispatchConfiguration.js";
import type { AgentFrame } from "../model/frames.js";

const tickMilliseconds = 10;
const callerLimits = {
    maximumHeaderBytes: 16_384,
    maximumBodyBytes: 20_000,
    headerTimeoutMilliseconds: 3000,
    idleTimeoutMilliseconds: 15_000,
};

/** An agent's core, the frames that it sends by address, and the versions of its entries. */
class RelayWorld {
    public readonly sent = new Map<string, AgentFrame[]>();
    public readonly versions = new Map<string, number>();
    private readonly clock = new ManualClock(1_000_000);
    private readonly core = new AgentCore(
        { incarnation: "agent", instance: "agent", availabilityZone: "zone-a" },
        this.clock,
    );
    private sequence = 1;

    public connect(address: string, version: number): void {
        this.versions.set(address, version);
        this.accept({ kind: "entries-found", entries: [{ address, availabilityZone: "zone-a" }] });
        this.accept({ kind: "connected", address });
        this.sendFrame(address, false, undefined);
    }

    public sendFrame(address: string, isRequested: boolean, configuration: DispatchConfiguration | undefined): void {
        this.sequence += 1;
        this.accept({
            kind: "frame",
            address,
            frame: {
                entry: address,
                sequence: this.sequence,
                newestSentAt: this.clock.nowMilliseconds(),
                starts: [],
                stops: [],
                entryAddresses: [],
                configuration: { version: this.versions.get(address) ?? 0, configuration, isRequested },
            },
        });
    }

    private accept(input: AgentInput): void {
        this.core.accept(input);
        for (const output of this.core.tick()) {
            if (output.kind === "frame") {
                this.sent.set(output.address, [...this.sent.get(output.address) ?? [], output.frame]);
            }
        }
        this.clock.advanceTo(this.clock.nowMilliseconds() + tickMilliseconds);
    }
}

let world = new RelayWorld();

function listFrames(address: string): readonly AgentFrame[] {
    return world.sent.get(address) ?? [];
}

Given(
    "an agent of direct jobs that is connected to entries {string} and {string} with versions {int} and {int}",
    (first: string, second: string, firstVersion: number, secondVersion: number) => {
        world = new RelayWorld();
        world.connect(first, firstVersion);
        world.connect(second, secondVersion);
    },
);

When("entry {string} requests the configuration", (address: string) => {
    world.sendFrame(address, true, undefined);
});

When("entry {string} sends a heartbeat", (address: string) => {
    world.sendFrame(address, false, undefined);
});

When("entry {string} sends the configuration of version {int}", (address: string, version: number) => {
    world.sendFrame(address, false, { version, routes: [], callerLimits });
});

Then(
    "the agent sends the configuration of version {int} to entry {string} once",
    (version: number, address: string) => {
        const documents = listFrames(address).flatMap(frame => frame.configuration.configuration ?? []);
        assert.deepEqual(documents.map(document => document.version), [version]);
    },
);

Then("the agent asks entry {string} for the configuration", (address: string) => {
    assert.equal(listFrames(address).filter(frame => frame.configuration.isRequested === true).length, 1);
});

Then("the agent does not ask entry {string} for the configuration", (address: string) => {
    assert.equal(listFrames(address).filter(frame => frame.configuration.isRequested === true).length, 0);
});
