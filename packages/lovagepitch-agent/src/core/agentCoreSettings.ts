/**
 * Settings of an agent's core.
 */
import type { AgentSettings } from "@lovagepitch/types/settings";

/** The subset of an agent's settings that its core reads. */
export interface AgentCoreSettings extends
    Readonly<
        Pick<
            AgentSettings,
            | "worker"
            | "rack"
            | "availabilityZone"
            | "cores"
            | "memoryMegabytes"
            | "standByLimit"
            | "maximumLedgerBytes"
            | "resubmissionWindowMilliseconds"
            | "backendServerTimeoutMilliseconds"
        >
    >
{
    /** Most tasks that a fully occupied agent prefetches into its queue; 1 when absent. */
    readonly prefetchLimit?: number;
}
