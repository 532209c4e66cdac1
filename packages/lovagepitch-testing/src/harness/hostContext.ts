/**
 * Parts that all processes of a simulated deployment share.
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

/** Settings, clocks, network, platform and records of a deployment. */
export class HostContext {
    /**
     * @param settings - settings of the deployment
     * @param queue - event queue
     * @param clock - clock of the deployment
     * @param coreClock - clock that the cores read, in whole milliseconds
     * @param random - random source of the whole deployment
     * @param codec - codec of submission ids
     * @param network - network between the processes
     * @param platform - fake platform
     * @param observer - notified of events of the deployment
     * @param record - deployment events for the checker
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
     * Draws the random incarnation of a process that starts.
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
     * Records that a process started or resumed.
     *
     * @param process - address and incarnation of the process
     */
    public recordProcessStart(process: string): void {
        const fromMilliseconds = this.clock.nowMilliseconds();
        this.record.processLifetimes.push({ process, fromMilliseconds, untilMilliseconds: undefined });
    }

    /**
     * Records that a process stopped or was frozen.
     *
     * @param process - address and incarnation of the process
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
     * Removes the record of a graceful shutdown that was interrupted by a crash.
     *
     * @param process - address and incarnation of the process
     */
    public cancelGracefulShutdown(process: string): void {
        const { gracefulShutdowns } = this.record;
        const position = gracefulShutdowns.findIndex(shutdown =>
            shutdown.process === process && shutdown.untilMilliseconds === undefined
        );
        if (position >= 0) {
            gracefulShutdowns.splice(position, 1);
        }
    }

    /**
     * Records that a graceful shutdown is complete.
     *
     * @param process - address and incarnation of the process
     */
    public recordGracefulShutdownEnd(process: string): void {
        const { gracefulShutdowns } = this.record;
        const position = gracefulShutdowns.findIndex(shutdown => shutdown.process === process);
        const shutdown = gracefulShutdowns[position];
        if (shutdown !== undefined) {
            gracefulShutdowns[position] = { ...shutdown, untilMilliseconds: this.clock.nowMilliseconds() };
        }
    }

    /**
     * Records that a process put a configuration version in force.
     *
     * @param process - address and incarnation of the process
     * @param version - version of the configuration
     */
    public recordConfigurationVersion(process: string, version: number): void {
        this.record.observedVersions.push({ process, version, atMilliseconds: this.clock.nowMilliseconds() });
    }
}
