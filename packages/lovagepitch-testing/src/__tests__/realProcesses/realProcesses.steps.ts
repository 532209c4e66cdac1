import { After, Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setTimeout as sleep } from "node:timers/promises";
import type { LaunchedProcess } from "../../launcher/processLauncher.js";
import { readStatus, type RealAgent, type RealEntry, sendControl } from "../../launcher/realProcesses.js";
import { realManifestFile, RealRun } from "./realRun.js";

const timeout = { timeout: 120_000 };
const outageMilliseconds = 3000;
const stopLimitMilliseconds = 40_000;
const versionLimitMilliseconds = 30_000;

let run: RealRun | undefined;
let stopped: LaunchedProcess | undefined;
let commands: readonly LaunchedProcess[] = [];

function theRun(): RealRun {
    assert.ok(run, "no deployment runs");
    return run;
}

function firstEntry(): RealEntry {
    return theRun().deployment.entries[0] as RealEntry;
}

function firstAgent(): RealAgent {
    return theRun().deployment.agents[0] as RealAgent;
}

async function freeze(launched: LaunchedProcess, milliseconds: number): Promise<void> {
    launched.signal("SIGSTOP");
    await sleep(milliseconds);
    launched.signal("SIGCONT");
}

function noteDeparture(agent: RealAgent): void {
    const drainPeriod = {
        worker: agent.worker,
        drainStartedAtMilliseconds: Date.now(),
        drainEndedAtMilliseconds: undefined,
    };
    theRun().record.drainPeriods.push(drainPeriod);
}

Given("a deployment of real processes", timeout, async () => {
    run = new RealRun();
    await run.start();
});

When("real jobs run while the first entry is killed", timeout, async () => {
    await theRun().runJobs(async () => {
        firstEntry().process.signal("SIGKILL");
        await firstEntry().process.waitForExit(stopLimitMilliseconds);
    });
});

When("real jobs run while the first agent is killed and started again", timeout, async () => {
    await theRun().runJobs(async () => {
        firstAgent().process.signal("SIGKILL");
        await firstAgent().process.waitForExit(stopLimitMilliseconds);
        theRun().deployment.restartAgent(firstAgent());
    });
});

When("real jobs run while the first entry is frozen for {int} ms", timeout, async (milliseconds: number) => {
    await theRun().runJobs(() => freeze(firstEntry().process, milliseconds));
});

When("real jobs run while the first agent is frozen for {int} ms", timeout, async (milliseconds: number) => {
    await theRun().runJobs(() => freeze(firstAgent().process, milliseconds));
});

When("real jobs run while the callers' connections go silent for good", timeout, async () => {
    await theRun().runJobs(() => {
        for (const relay of theRun().callerRelays) {
            relay.silence();
        }
        return Promise.resolve();
    });
});

When("real jobs run while the platform's connections go silent for good", timeout, async () => {
    await theRun().runJobs(() => {
        theRun().platformRelay?.silence();
        return Promise.resolve();
    });
});

When("real jobs run while the platform is down", timeout, async () => {
    await theRun().runJobs(async () => {
        await theRun().deployment.setPlatformFaults({ down: true });
        await sleep(outageMilliseconds);
        await theRun().deployment.setPlatformFaults({ down: false });
    });
});

When("real jobs with keys run while the platform loses half of its answers", timeout, async () => {
    await theRun().runJobs(async () => {
        await theRun().deployment.setPlatformFaults({ lostAnswerShare: 0.5 });
        await sleep(outageMilliseconds);
        await theRun().deployment.setPlatformFaults({ lostAnswerShare: 0 });
    }, "caller-keys");
});

When("two operators apply a manifest at once", timeout, async () => {
    const changed = realManifestFile.replace("cooperative", "association");
    commands = await Promise.all(
        [realManifestFile, changed].map((file, position) =>
            theRun().deployment.applyManifest(file, 1, `operator-${position + 1}`)
        ),
    );
});

When("real jobs run while the first backend server leaves", timeout, async () => {
    await theRun().runJobs(async () => {
        await sendControl("POST", `${firstAgent().backendServerUrl}/leave`);
        noteDeparture(firstAgent());
    });
});

When("real jobs run while the first agent is stopped as planned", timeout, async () => {
    stopped = firstAgent().process;
    await theRun().runJobs(async () => {
        noteDeparture(firstAgent());
        firstAgent().process.signal("SIGTERM");
        await firstAgent().process.waitForExit(stopLimitMilliseconds);
    });
});

When("real jobs run while the first entry is stopped as planned", timeout, async () => {
    stopped = firstEntry().process;
    await theRun().runJobs(async () => {
        firstEntry().process.signal("SIGTERM");
        await firstEntry().process.waitForExit(stopLimitMilliseconds);
    });
});

Then("every real job has a result and no rule is broken", timeout, async () => {
    const violations = await theRun().judge();
    const jobs = theRun().client?.jobs ?? [];
    const times = jobs.flatMap(job => job.overheadMilliseconds ?? []);
    const kinds = jobs.map(job => job.result.kind);
    const count = (kind: string): number => kinds.filter(other => other === kind).length;
    console.log(
        `time: ${jobs.length} real jobs, ${count("complete")} complete, ${count("failed")} failed, `
            + `${count("refused")} refused, ${count("unknown")} unknown; most over the longest task `
            + `${Math.max(0, ...times)} ms`,
    );
    assert.deepEqual(violations, []);
    assert.equal(count("unknown"), 0);
});

Then("every real job is complete", () => {
    const others = (theRun().client?.jobs ?? []).filter(job => job.result.kind !== "complete");
    assert.deepEqual(others.map(job => job.result), []);
});

Then(
    "every real job is complete, or had tasks that never began and is complete when submitted anew",
    timeout,
    async () => {
        const { client, deployment } = theRun();
        assert.ok(client);
        const begun = new Set((await deployment.collectStarts()).starts.map(({ echo }) => echo));
        for (const { job, result } of client.jobs.filter(other => other.result.kind !== "complete")) {
            assert.equal(result.kind, "failed", JSON.stringify(result));
            const echoes = job.tasks.map(({ payload }) => (payload as { readonly echo: unknown }).echo);
            assert.ok(echoes.some(echo => !begun.has(echo)), `all tasks had begun: ${JSON.stringify(result)}`);
            assert.equal((await client.run(job)).kind, "complete");
        }
    },
);

Then("the stopped process has ended by itself", () => {
    assert.equal(stopped?.exit, 0, stopped?.lines.slice(-5).join("\n"));
});

Then("one operator is told of the other's version and every process has the accepted one", timeout, async () => {
    const exits = commands.map(command => command.exit);
    assert.deepEqual([...exits].sort(), [0, 4], commands.map(command => command.lines.join("\n")).join("\n"));
    const endAt = Date.now() + versionLimitMilliseconds;
    const { entries, agents } = theRun().deployment;
    for (const { url } of [...entries, ...agents]) {
        while ((await readStatus(url))?.configurationVersion !== 2) {
            assert.ok(Date.now() < endAt, `${url} has no version 2`);
            await sleep(100);
        }
    }
});

After(timeout, async () => {
    await run?.stop();
    run = undefined;
    stopped = undefined;
});
