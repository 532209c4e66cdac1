import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as delay } from "node:timers/promises";
import { Core } from "../core.js";
import { MonotonicClock } from "../monotonicClock.js";
import { TickLoop } from "../tickLoop.js";

const clock = new MonotonicClock();

/** Core that wakes once, at an instant that each input sets. */
class OneWakeCore extends Core<number, never> {
    public ticks = 0;
    public areInputsUrgent = true;
    private wakeAt: number | undefined;

    public override accept(delayMilliseconds: number): void {
        this.wakeAt = clock.nowMilliseconds() + delayMilliseconds;
    }

    public override isUrgent(): boolean {
        return this.areInputsUrgent;
    }

    public override tick(): readonly never[] {
        this.ticks += 1;
        if (this.wakeAt !== undefined && clock.nowMilliseconds() >= this.wakeAt) {
            this.wakeAt = undefined;
        }
        return [];
    }

    public override nextWakeAtMilliseconds(): number | undefined {
        return this.wakeAt;
    }
}

let core = new OneWakeCore();
let loop: TickLoop<number, never> | undefined;

function accept(milliseconds: number): Promise<void> {
    loop?.accept(milliseconds);
    return new Promise(resolve => setImmediate(() => setImmediate(resolve)));
}

function keepBusy(milliseconds: number): void {
    const endsAt = clock.nowMilliseconds() + milliseconds;
    while (clock.nowMilliseconds() < endsAt) {
        // Nothing else runs meanwhile.
    }
}

Given("a tick loop whose core wants to wake in {int} ms", async (milliseconds: number) => {
    core = new OneWakeCore();
    loop = new TickLoop<number, never>(core, clock, () => undefined);
    await accept(milliseconds);
});

When("an input moves the wake to {int} ms later", (milliseconds: number) => accept(milliseconds));

When("an input that is not urgent arrives", async () => {
    core.areInputsUrgent = false;
    await accept(20);
});

When(
    "an input moves the wake to {int} ms later and the process is busy for {int} ms from then on",
    async (wakeMilliseconds: number, busyMilliseconds: number) => {
        loop?.accept(wakeMilliseconds);
        // Both callbacks run before any timer: the first one sets the loop's timer.
        await new Promise<void>(resolve => {
            setImmediate(() => {
                keepBusy(busyMilliseconds);
                resolve();
            });
        });
        await delay(5);
    },
);

Then("after {int} ms the core has run {int} ticks", async (milliseconds: number, ticks: number) => {
    await delay(milliseconds);
    assert.equal(core.ticks, ticks);
});

Then(
    "the loop reports a delay of at least {int} ms, and less than {int} ms afterwards",
    (least: number, afterwards: number) => {
        assert.ok((loop?.takeLargestDelayMilliseconds() ?? 0) >= least);
        assert.ok((loop?.takeLargestDelayMilliseconds() ?? Number.NaN) < afterwards);
    },
);

After(() => loop?.stop());
