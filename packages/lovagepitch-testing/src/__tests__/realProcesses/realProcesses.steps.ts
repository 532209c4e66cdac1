import { After, Given, Status, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import type { LaunchedProcess } from "../../launcher/processLauncher.js";
import { readStatus, type RealAgent, type RealEntry, sendControl } from "../../launcher/realProcesses.js";
import { realManifestFile, RealRun } from "./realRun.js";

const timeout = { timeout: 120_000 };
const outageMilliseconds = 3000;
const stopLimitMilliseconds = 40_000;
const propagationLimitMilliseconds = 30_000;

let run: RealRun | undefined;
let stoppedProcess: LaunchedProcess | undefined;
let commands: readonly LaunchedProcess[] = [];

function getRun(): RealRun {
    assert.ok(run, "no deployment was started");
    return run;
}

function getFirstEntry(): RealEntry {
    return getRun().deployment.entries[0] as RealEntry;
}

function getFirstAgent(): RealAgent {
    return getRun().deployment.agents[0] as RealAgent;
}

async function freeze(launched: LaunchedProcess, milliseconds: number): Promise<void> {
    launched.signal("SIGSTOP");
    await sleep(milliseconds);
    launched.signal("SIGCONT");
}

function recordDrainPeriod(agent: RealAgent): void {
    const drainPeriod = {
        worker: agent.worker,
        drainStartedAtMilliseconds: Date.now(),
        drainEndedAtMilliseconds: undefined,
    };
    getRun().record.drainPeriods.push(drainPeriod);
}

Given("a deployment of real processes", timeout, async () => {
    run = new RealRun();
    await run.start();
});

When("real jobs run while the first entry is killed", timeout, async () => {
    await getRun().runJobs(async () => {
        getFirstEntry().process.signal("SIGKILL");
        await getFirstEntry().process.waitForExit(stopLimitMilliseconds);
    });
});

When("real jobs run while the first agent is killed and restarted", timeout, async () => {
    await getRun().runJobs(async () => {
        getFirstAgent().process.signal("SIGKILL");
        await getFirstAgent().process.waitForExit(stopLimitMilliseconds);
        getRun().deployment.restartAgent(getFirstAgent());
    });
});

When("real jobs run while the first entry is frozen for {int} ms", timeout, async (milliseconds: number) => {
    await getRun().runJobs(() => freeze(getFirstEntry().process, milliseconds));
});

When("real jobs run while the first agent is frozen for {int} ms", timeout, async (milliseconds: number) => {
    await getRun().runJobs(() => freeze(getFirstAgent().process, milliseconds));
});

When("real jobs run while the callers' connections become silent", timeout, async () => {
    await getRun().runJobs(() => {
        for (const relay of getRun().callerRelays) {
            relay.silence();
        }
        return Promise.resolve();
    });
});

When("real jobs run while the platform's connections become silent", timeout, async () => {
    await getRun().runJobs(() => {
        getRun().platformRelay?.silence();
        return Promise.resolve();
    });
});

When("real jobs run while the platform is down", timeout, async () => {
    await getRun().runJobs(async () => {
        await getRun().deployment.setPlatformFaults({ down: true });
        await sleep(outageMilliseconds);
        await getRun().deployment.setPlatformFaults({ down: false });
    });
});

When("real jobs with keys run while the platform loses half of its responses", timeout, async () => {
    await getRun().runJobs(async () => {
        await getRun().deployment.setPlatformFaults({ lostAnswerShare: 0.5 });
        await sleep(outageMilliseconds);
        await getRun().deployment.setPlatformFaults({ lostAnswerShare: 0 });
    }, "caller-keys");
});

When("two operators apply a manifest concurrently", timeout, async () => {
    const changed = realManifestFile.replace("cooperative", "association");
    commands = await Promise.all(
        [realManifestFile, changed].map((file, position) =>
            getRun().deployment.applyManifest(file, 1, `operator-${position + 1}`)
        ),
    );
});

When("real jobs run while the first backend server drains", timeout, async () => {
    await getRun().runJobs(async () => {
        await sendControl("POST", `${getFirstAgent().backendServerUrl}/leave`);
        recordDrainPeriod(getFirstAgent());
    });
});

When("real jobs run while the first agent is shut down gracefully", timeout, async () => {
    stoppedProcess = getFirstAgent().process;
    await getRun().runJobs(async () => {
        recordDrainPeriod(getFirstAgent());
        getFirstAgent().process.signal("SIGTERM");
        await getFirstAgent().process.waitForExit(stopLimitMilliseconds);
    });
});

When("real jobs run while the first entry is shut down gracefully", timeout, async () => {
    stoppedProcess = getFirstEntry().process;
    await getRun().runJobs(async () => {
        getFirstEntry().process.signal("SIGTERM");
        await getFirstEntry().process.waitForExit(stopLimitMilliseconds);
    });
});

Then("every real job has a result and no rule is violated", timeout, async () => {
    const violations = await getRun().check();
    const jobs = getRun().client?.jobs ?? [];
    const times = jobs.flatMap(job => job.overheadMilliseconds ?? []);
    const kinds = jobs.map(job => job.result.kind);
    const count = (kind: string): number => kinds.filter(other => other === kind).length;
    console.log(
        `time: ${jobs.length} real jobs, ${count("complete")} complete, ${count("failed")} failed, `
            + `${count("refused")} refused, ${count("unknown")} unknown; maximum overhead over the longest task `
            + `${Math.max(0, ...times)} ms`,
    );
    assert.deepEqual(violations, []);
    assert.equal(count("unknown"), 0);
});

Then("every real job is complete", () => {
    const others = (getRun().client?.jobs ?? []).filter(job => job.result.kind !== "complete");
    assert.deepEqual(others.map(job => job.result), []);
});

Then(
    "every real job is complete, or had tasks that never started and is complete when submitted again",
    timeout,
    async () => {
        const { client, deployment } = getRun();
        assert.ok(client);
        const startedEchoes = new Set((await deployment.collectStarts()).starts.map(({ echo }) => echo));
        for (const { job, result } of client.jobs.filter(other => other.result.kind !== "complete")) {
            assert.equal(result.kind, "failed", JSON.stringify(result));
            const echoes = job.tasks.map(({ payload }) => (payload as { readonly echo: unknown }).echo);
            assert.ok(
                echoes.some(echo => !startedEchoes.has(echo)),
                `all tasks had started: ${JSON.stringify(result)}`,
            );
            assert.equal((await client.run(job)).kind, "complete");
        }
    },
);

Then("the stopped process has exited without an error", () => {
    assert.equal(stoppedProcess?.exit, 0, stoppedProcess?.lines.slice(-5).join("\n"));
});

Then("one operator gets a conflict and every process has the accepted version", timeout, async () => {
    const exits = commands.map(command => command.exit);
    assert.deepEqual([...exits].sort(), [0, 4], commands.map(command => command.lines.join("\n")).join("\n"));
    const endAt = Date.now() + propagationLimitMilliseconds;
    const { entries, agents } = getRun().deployment;
    for (const { url } of [...entries, ...agents]) {
        while ((await readStatus(url))?.configurationVersion !== 2) {
            assert.ok(Date.now() < endAt, `${url} has no version 2`);
            await sleep(100);
        }
    }
});

After(timeout, async ({ pickle, result }) => {
    if (run !== undefined && result?.status !== Status.PASSED) {
        const folder = join("target/failed-scenarios", `${pickle.name.replaceAll(" ", "-")}-${Date.now()}`);
        await run.deployment.writeOutputs(folder);
        console.log(`output of the processes of "${pickle.name}": ${folder}`);
    }
    await run?.stop();
    run = undefined;
    stoppedProcess = undefined;
});
