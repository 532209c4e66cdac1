/**
 * Settings that the decisions of an agent rest on.
 */
import type { AgentSettings } from "@lovagepitch/types/settings";

/** The part of an agent's settings that its core reads. */
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
    /** Tasks that a busy agent asks for ahead of a free slot; 1 when absent. */
    readonly prefetchLimit?: number;
}
