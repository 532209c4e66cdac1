import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { LinkBacklog } from "../policies/linkBacklog.js";
import { AgentDriver, createOrder } from "./agentDriver.js";

/** Time between two ticks of a running entry, in milliseconds. */
const tickMilliseconds = 5;

let link = new LinkBacklog();
let now = 0;
let agents: readonly string[] = [];
let agent = new AgentDriver(false);

function passTime(milliseconds: number): void {
    for (let elapsed = 0; elapsed < milliseconds; elapsed += tickMilliseconds) {
        now += Math.min(tickMilliseconds, milliseconds - elapsed);
        link.recordTick(now);
    }
}

Given(
    /^an entry's link with (\d+) agents( of an earlier version)? that each hold (\d+) bytes of starts$/,
    (count: string, isEarlier: string | null, bytes: string) => {
        link = new LinkBacklog();
        now = 1000;
        agents = Array.from({ length: Number(count) }, (_, index) => `agent-${index}`);
        const heldMilliseconds = isEarlier === null ? 0 : undefined;
        agents.forEach(name => link.recordIncluded(name, 0, heldMilliseconds, now));
        // A heartbeat while nothing is in flight shows the delay of the route.
        agents.forEach(name => link.recordSent(name, 1, 0, now));
        passTime(tickMilliseconds);
        agents.forEach(name => link.recordIncluded(name, 1, heldMilliseconds, now));
        agents.forEach(name => link.recordSent(name, 2, Number(bytes), now));
    },
);

When(
    /^(orders wait and )?all frames arrive after (\d+) ms(?:, but one after (\d+) ms)?$/,
    (isWaiting: string | null, milliseconds: string, latest: string | null) => {
        passTime(Number(milliseconds));
        if (isWaiting !== null) {
            link.recordLimit(now);
        }
        const [last, ...others] = agents;
        (latest === null ? agents : others).forEach(name => link.recordIncluded(name, 2, 0, now));
        if (latest !== null && last !== undefined) {
            passTime(Number(latest) - Number(milliseconds));
            link.recordIncluded(last, 2, 0, now);
        }
    },
);

When("the frames arrive one after the other, each {int} ms after the one before", (milliseconds: number) => {
    for (const name of agents) {
        passTime(milliseconds);
        link.recordIncluded(name, 2, 0, now);
    }
});

When("the process pauses and all frames arrive after {int} ms", (milliseconds: number) => {
    now += milliseconds;
    link.recordTick(now);
    agents.forEach(name => link.recordIncluded(name, 2, 0, now));
});

When("{int} ms pass without a frame", (milliseconds: number) => {
    passTime(milliseconds);
});

Then(
    /^the link is (short|not short), and the bound is between (\d+) and (\d+) bytes$/,
    (state: string, minimum: string, maximum: string) => {
        assert.equal(link.isShort(now), state === "short");
        const bytes = link.maximumBytes;
        assert.ok(bytes >= Number(minimum) && bytes <= Number(maximum), `${bytes} bytes`);
    },
);

Then(
    "{int} bytes more would arrive after {int} to {int} ms",
    (bytes: number, minimum: number, maximum: number) => {
        const milliseconds = link.estimateArrivalMilliseconds(bytes, now);
        assert.ok(milliseconds >= minimum && milliseconds <= maximum, `${milliseconds} ms`);
    },
);

Then("{int} bytes may be sent", (bytes: number) => {
    assert.equal(Math.max(0, link.countSendableBytes(now)), bytes);
});

When("{int} bytes wait in the process", (bytes: number) => {
    link.recordUnsent(bytes);
});

Given("an agent that has received no frame for {int} ms", (milliseconds: number) => {
    agent = new AgentDriver(false);
    agent.prepare("life-1");
    agent.advance(milliseconds);
});

When("a frame with 2 starts arrives that has waited for as long", () => {
    agent.receiveStarts([createOrder("a1"), { ...createOrder("a1"), task: 1 }], 600);
    agent.advance(10);
});

Then("both runs are reported as not started, and no start was sent to the worker", () => {
    assert.deepEqual(agent.listReportedEnds(), ["not-started", "not-started"]);
    assert.ok(!agent.outputs.some(output => output.kind === "start"));
});

Then(
    "a link of {float} megabits a second has a first bound of {int} bytes, one of {float} has {int}, one of {int} has {int}",
    (rate: number, bound: number, slowRate: number, least: number, fastRate: number, largest: number) => {
        const bounds = [rate, slowRate, fastRate].map(megabits => new LinkBacklog(megabits).maximumBytes);
        assert.deepEqual(bounds, [bound, least, largest]);
    },
);
