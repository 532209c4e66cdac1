import { Given, Then, When } from "@cucumber/cucumber";
import { ManualClock } from "@lovagepitch/utils/clock";
import assert from "node:assert/strict";
import { AgentCore } from "../agent/agentCore.js";
import type { AgentInput, AgentOutput } from "../agent/agentPorts.js";
import type { WorkerRegistration } from "../model/workerStatus.js";

const entryAddress = "10.1.0.1:7720";

type ViewCall = AgentOutput & { readonly kind: "view" };

/** An agent's core on a clock that the test advances. */
class AgentDriver {
    public readonly outputs: AgentOutput[] = [];
    private readonly clock = new ManualClock(1_000_000);
    private readonly core = new AgentCore(
        { incarnation: "agent-1", instance: "side-1", availabilityZone: "zone-1" },
        this.clock,
    );

    /**
     * @param refusesConnections - true when attempts to connect are refused at once, false when they get no answer
     */
    public constructor(private readonly refusesConnections: boolean) {}

    public accept(input: AgentInput): void {
        this.core.accept(input);
        this.tick();
    }

    public advance(milliseconds: number): void {
        const endsAt = this.clock.nowMilliseconds() + milliseconds;
        while (this.clock.nowMilliseconds() < endsAt) {
            const wakeAt = this.core.nextWakeAtMilliseconds() ?? endsAt;
            this.clock.advanceTo(Math.max(this.clock.nowMilliseconds() + 1, Math.min(wakeAt, endsAt)));
            this.tick();
        }
    }

    public listViewCalls(): readonly ViewCall[] {
        return this.outputs.filter((output): output is ViewCall => output.kind === "view");
    }

    private tick(): void {
        const outputs = this.core.tick();
        this.outputs.push(...outputs);
        for (const output of outputs) {
            if (output.kind === "connect" && this.refusesConnections) {
                this.accept({ kind: "disconnected", address: output.address, wasRefused: true });
            }
        }
    }
}

let agent = new AgentDriver(false);

function createRegistration(id: string): WorkerRegistration {
    const capacity = { milliCores: 16_000, memoryMegabytes: 32_768, accelerators: 0 };
    return { id, service: "drives", capacity, labels: [] };
}

function countConnects(): number {
    return agent.outputs.filter(output => output.kind === "connect").length;
}

Given(
    /^an agent that knows an entry (without power|whose process is starting)$/,
    (state: string) => {
        agent = new AgentDriver(state !== "without power");
        agent.accept({ kind: "entries-found", entries: [{ address: entryAddress, availabilityZone: "zone-1" }] });
    },
);

Given("an agent that has recalled a worker", () => {
    agent = new AgentDriver(true);
    agent.accept({ kind: "worker-recalled", registration: createRegistration("life-1") });
});

Given("an agent whose worker {string} has reported", (id: string) => {
    agent = new AgentDriver(true);
    reportWorker(id);
});

When("worker {string} reports", reportWorker);

function reportWorker(id: string): void {
    agent.accept({
        kind: "worker-reported",
        report: {
            ...createRegistration(id),
            isDraining: false,
            drainRemainingMilliseconds: undefined,
            workerClock: 7000,
            sequence: 3,
        },
    });
}

When("{int} s pass for the agent", (seconds: number) => {
    agent.advance(seconds * 1000);
});

When("the worker answers the first view call, and its clock shows {int} ms", (workerClock: number) => {
    const [first] = agent.listViewCalls();
    assert.ok(first);
    agent.accept({ kind: "view", call: first.call, view: { workerClock, running: [], ended: [] } });
});

When("the agent recalls worker {string}", (id: string) => {
    agent.accept({ kind: "worker-recalled", registration: createRegistration(id) });
    agent.advance(100);
});

Then(
    /^it tries to connect at (least|most) (\d+) times within 1 s$/,
    (bound: string, times: string) => {
        const earlier = countConnects();
        agent.advance(1000);
        const connects = countConnects() - earlier;
        assert.ok(bound === "least" ? connects >= Number(times) : connects <= Number(times), `${connects} attempts`);
    },
);

Then("the next view call has epoch {int} and the first one extended no lease", (epoch: number) => {
    const [first, second] = agent.listViewCalls();
    assert.equal(first?.leaseExpiresAt, undefined);
    assert.equal(second?.epoch, epoch);
});

Then("it calls only worker {string}", (id: string) => {
    assert.deepEqual([...new Set(agent.listViewCalls().map(call => call.worker))], [id]);
});

Then("the latest view call is for worker {string}", (id: string) => {
    assert.equal(agent.listViewCalls().at(-1)?.worker, id);
});
