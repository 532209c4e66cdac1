/**
 * One run of real processes: load, a fault in its middle, and the record that the checker judges.
 */
import { join } from "node:path";
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { checkRun } from "../../checker/checker.js";
import { DeploymentRecord } from "../../checker/deploymentRecord.js";
import { type CheckerLimits, documentedLimits, type Violation } from "../../checker/violation.js";
import { RealDeployment } from "../../launcher/realDeployment.js";
import { RecordedClient } from "../../launcher/recordedClient.js";
import { SilentRelay } from "../../launcher/silentRelay.js";

const workspace = fileURLToPath(new URL("../../../../..", import.meta.url));
/** Manifest of the runs. */
export const realManifestFile = join(workspace, "examples/cooperative/manifest.jsonc");
const work = {
    team: "member-phones",
    service: "plant-alerts",
    kind: "thirst-alert",
    deadlineMilliseconds: 12_000,
} as const;
const jobs = 30;
const jobGapMilliseconds = 60;
const faultAfterMilliseconds = 700;
const attemptTimeoutMilliseconds = 3000;

/** Bounds of liveness on a machine that may be busy; the times themselves are printed. */
const livenessLimits: CheckerLimits = {
    ...documentedLimits,
    configurationPropagationMilliseconds: 30_000,
    deadlineMarginMilliseconds: 30_000,
    decisionMarginMilliseconds: 30_000,
};

/** Processes, relays and callers of one scenario. */
export class RealRun {
    /** The processes. */
    public readonly deployment: RealDeployment;
    /** Facts that a scenario notes for the checker. */
    public readonly record = new DeploymentRecord();
    /** Relays between callers and entries. */
    public readonly callerRelays: SilentRelay[] = [];
    /** Relay between processes and the platform. */
    public platformRelay: SilentRelay | undefined;
    /** The callers, once jobs run. */
    public client: RecordedClient | undefined;

    /** Makes a run; nothing is started yet. */
    public constructor() {
        this.deployment = new RealDeployment({
            example: "cooperative",
            entryZones: ["kolonnawa", "dehiwala"],
            agentZones: ["kolonnawa", "dehiwala", "dehiwala"],
            services: ["plant-alerts"],
            slots: 4,
            relayPlatform: async url => {
                this.platformRelay = new SilentRelay(new URL(url).host);
                await this.platformRelay.start();
                return `http://${this.platformRelay.address}`;
            },
        });
    }

    /** Starts everything. */
    public async start(): Promise<void> {
        const acceptedAtMilliseconds = Date.now();
        await this.deployment.start(realManifestFile);
        this.record.acceptedManifests.push({
            manifest: { version: 1, manifest: cooperativePlaces, digest: "", appliedBy: "operator" },
            acceptedAtMilliseconds,
        });
        for (const entry of this.deployment.entries) {
            const relay = new SilentRelay(new URL(entry.url).host);
            await relay.start();
            this.callerRelays.push(relay);
        }
    }

    /**
     * Runs jobs at a steady rate with a fault in their middle.
     *
     * @param fault - the fault; it may take time
     * @param identity - issued ids or the callers' keys
     */
    public async runJobs(
        fault: () => Promise<void>,
        identity: "issued-ids" | "caller-keys" = "issued-ids",
    ): Promise<void> {
        const entries = this.callerRelays.map(relay => `http://${relay.address}`);
        const client = new RecordedClient(entries, identity, attemptTimeoutMilliseconds);
        this.client = client;
        const running: Promise<unknown>[] = [sleep(faultAfterMilliseconds).then(fault)];
        for (let position = 0; position < jobs; position += 1) {
            const job = client.createJob(work, [80, 150, 400]);
            running.push(client.run(job, identity === "caller-keys" ? `key-${position}` : undefined));
            await sleep(jobGapMilliseconds);
        }
        await Promise.all(running);
    }

    /**
     * Judges the run.
     *
     * @returns every violation
     */
    public async judge(): Promise<readonly Violation[]> {
        if (this.client === undefined) {
            throw new Error("no jobs ran; run jobs first");
        }
        const starts = await this.deployment.collectStarts();
        const run = {
            starts,
            answers: this.client.answers,
            deployment: this.record,
            endedAtMilliseconds: Date.now(),
        };
        return checkRun(run, livenessLimits);
    }

    /** Ends everything. */
    public async stop(): Promise<void> {
        await this.client?.close();
        await this.deployment.stop();
        for (const relay of [...this.callerRelays, ...this.platformRelay === undefined ? [] : [this.platformRelay]]) {
            relay.stop();
        }
    }
}

/** What the checker needs of the example's manifest. */
const cooperativePlaces = {
    availabilityZones: ["kolonnawa", "dehiwala", "maharagama"],
    teams: [],
    services: [{
        name: "plant-alerts",
        kinds: [{
            name: "thirst-alert",
            availabilityZones: ["kolonnawa", "dehiwala", "maharagama"],
            maximumCores: 2,
            maximumMemoryMegabytes: 2048,
            maximumDeadlineMilliseconds: 30_000,
            taskTimeoutMilliseconds: 10_000,
        }],
    }],
};
