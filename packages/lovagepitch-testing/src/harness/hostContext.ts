/**
 * What all processes of a deployment in one process share.
 */
import type { Incarnation } from "@lovagepitch/types/identity";
import type { Clock } from "@lovagepitch/utils/clock";
import type { RandomSource } from "@lovagepitch/utils/randomSource";
import type { SubmissionCodec } from "@lovagepitch/utils/submissionCodec";
import type { DeploymentRecord } from "../checker/deploymentRecord.js";
import type { DeploymentObserver } from "./deploymentObserver.js";
import type { DeploymentSettings } from "./deploymentSettings.js";
import type { EventQueue } from "./eventQueue.js";
import type { FakePlatform } from "./fakePlatform.js";
import type { Network } from "./network.js";

const incarnationLength = 16;
const hexadecimalBase = 16;

/** Shared parts and records. */
export class HostContext {
    /**
     * @param settings - sizes, places and times
     * @param queue - events
     * @param clock - the clock of the deployment
     * @param coreClock - the clock that cores read
     * @param random - source of everything random
     * @param codec - codec of submission ids
     * @param network - links between processes
     * @param platform - the platform's fake
     * @param observer - watches the deployment
     * @param record - keeps what the checker needs
     */
    public constructor(
        public readonly settings: DeploymentSettings,
        public readonly queue: EventQueue,
        public readonly clock: Clock,
        public readonly coreClock: Clock,
        public readonly random: RandomSource,
        public readonly codec: SubmissionCodec,
        public readonly network: Network,
        public readonly platform: FakePlatform,
        public readonly observer: DeploymentObserver,
        public readonly record: DeploymentRecord,
    ) {}

    /**
     * Draws the incarnation of a new life.
     *
     * @returns lower-case hexadecimal digits
     */
    public createIncarnation(): Incarnation {
        let digits = "";
        for (let position = 0; position < incarnationLength; position += 1) {
            digits += this.random.nextInteger(hexadecimalBase).toString(hexadecimalBase);
        }
        return digits;
    }

    /**
     * Records that a process began or went on.
     *
     * @param process - its address and incarnation
     */
    public recordProcessStart(process: string): void {
        const fromMilliseconds = this.clock.nowMilliseconds();
        this.record.processLifetimes.push({ process, fromMilliseconds, untilMilliseconds: undefined });
    }

    /**
     * Records that a process ended or was paused.
     *
     * @param process - its address and incarnation
     */
    public recordProcessEnd(process: string): void {
        const untilMilliseconds = this.clock.nowMilliseconds();
        for (const [position, life] of this.record.processLifetimes.entries()) {
            if (life.process === process && life.untilMilliseconds === undefined) {
                this.record.processLifetimes[position] = { ...life, untilMilliseconds };
            }
        }
    }

    /**
     * Takes back the record of a planned stop that something else ended.
     *
     * @param process - its address and incarnation
     */
    public cancelPlannedStop(process: string): void {
        const { plannedStops } = this.record;
        const position = plannedStops.findIndex(stop =>
            stop.process === process && stop.untilMilliseconds === undefined
        );
        if (position >= 0) {
            plannedStops.splice(position, 1);
        }
    }

    /**
     * Records that a planned stop has ended.
     *
     * @param process - its address and incarnation
     */
    public recordPlannedStopEnd(process: string): void {
        const { plannedStops } = this.record;
        const position = plannedStops.findIndex(stop => stop.process === process);
        const stop = plannedStops[position];
        if (stop !== undefined) {
            plannedStops[position] = { ...stop, untilMilliseconds: this.clock.nowMilliseconds() };
        }
    }

    /**
     * Records that a process put a configuration in force.
     *
     * @param process - its address and incarnation
     * @param version - the version
     */
    public recordConfigurationVersion(process: string, version: number): void {
        this.record.observedVersions.push({ process, version, atMilliseconds: this.clock.nowMilliseconds() });
    }
}
