/**
 * One run of real processes: load, a fault during the load, and the record that the checker evaluates.
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
/** Path of the manifest that the runs start with. */
export const realManifestFile = join(workspace, "examples/cooperative/manifest.jsonc");
const jobTemplate = {
    team: "member-phones",
    service: "plant-alerts",
    kind: "thirst-alert",
    deadlineMilliseconds: 12_000,
} as const;
const jobCount = 30;
const jobGapMilliseconds = 60;
const faultAfterMilliseconds = 700;
const attemptTimeoutMilliseconds = 3000;

/** Time limits that also hold on a busy machine; the measured times are printed. */
const livenessLimits: CheckerLimits = {
    ...documentedLimits,
    configurationPropagationMilliseconds: 30_000,
    deadlineMarginMilliseconds: 30_000,
    decisionMarginMilliseconds: 30_000,
};

/** Processes, relays and callers of one scenario. */
export class RealRun {
    /** Deployment of real processes. */
    public readonly deployment: RealDeployment;
    /** Facts that a scenario records for the checker. */
    public readonly record = new DeploymentRecord();
    /** Relays between callers and entries. */
    public readonly callerRelays: SilentRelay[] = [];
    /** Relay between processes and the platform. */
    public platformRelay: SilentRelay | undefined;
    /** Client of the callers, once jobs run. */
    public client: RecordedClient | undefined;

    /** Creates a run without starting its processes. */
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

    /** Starts the processes and the relays. */
    public async start(): Promise<void> {
        const acceptedAtMilliseconds = Date.now();
        await this.deployment.start(realManifestFile);
        this.record.acceptedManifests.push({
            manifest: { version: 1, manifest: cooperativeManifest, digest: "", appliedBy: "operator" },
            acceptedAtMilliseconds,
        });
        for (const entry of this.deployment.entries) {
            const relay = new SilentRelay(new URL(entry.url).host);
            await relay.start();
            this.callerRelays.push(relay);
        }
    }

    /**
     * Runs jobs at a steady rate and injects a fault while they run.
     *
     * @param fault - injects the fault, and ends it where the scenario needs that
     * @param identity - whether jobs are identified by issued ids or by the callers' keys
     */
    public async runJobs(
        fault: () => Promise<void>,
        identity: "issued-ids" | "caller-keys" = "issued-ids",
    ): Promise<void> {
        const entries = this.callerRelays.map(relay => `http://${relay.address}`);
        const client = new RecordedClient(entries, identity, attemptTimeoutMilliseconds);
        this.client = client;
        const running: Promise<unknown>[] = [sleep(faultAfterMilliseconds).then(fault)];
        for (let position = 0; position < jobCount; position += 1) {
            const job = client.createJob(jobTemplate, [80, 150, 400]);
            running.push(client.run(job, identity === "caller-keys" ? `key-${position}` : undefined));
            await sleep(jobGapMilliseconds);
        }
        await Promise.all(running);
    }

    /**
     * Checks the run against the rules.
     *
     * @returns all violations of the rules
     */
    public async check(): Promise<readonly Violation[]> {
        if (this.client === undefined) {
            throw new Error("the run has no jobs to check; call runJobs first");
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

    /** Stops the client, the processes and the relays. */
    public async stop(): Promise<void> {
        await this.client?.close();
        await this.deployment.stop();
        for (const relay of [...this.callerRelays, ...this.platformRelay === undefined ? [] : [this.platformRelay]]) {
            relay.stop();
        }
    }
}

/** The part of the example's manifest that the checker needs. */
const cooperativeManifest = {
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
