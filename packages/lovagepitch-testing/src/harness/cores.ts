/**
 * Factories for the cores under test.
 */
import { AgentCore } from "@lovagepitch/agent/core/agentCore";
import { EntryCore } from "@lovagepitch/entry/core/entryCore";
import type { PeerIdentity } from "@lovagepitch/types/identity";
import type { AgentPlacement, EntryPlacement } from "./deploymentSettings.js";
import type { HostContext } from "./hostContext.js";

/**
 * Creates the core of an entry.
 *
 * @param context - settings, clock, codec and random source of the deployment
 * @param identity - address and incarnation of the entry
 * @param placement - availability zone of the entry
 * @returns the core
 */
export function createEntryCore(
    context: HostContext,
    identity: PeerIdentity,
    placement: EntryPlacement,
): EntryCore {
    const { settings, codec, coreClock, random } = context;
    return new EntryCore({
        identity,
        settings: {
            resubmissionWindowMilliseconds: settings.resubmissionWindowMilliseconds,
            maximumWaitingTasks: settings.maximumWaitingTasks,
            maximumAnswerBytes: settings.maximumAnswerBytes,
            availabilityZone: placement.availabilityZone,
            policy: settings.policy,
        },
        codec,
        clock: coreClock,
        random,
    });
}

/**
 * Creates the core of an agent.
 *
 * @param context - settings, clock and codec of the deployment
 * @param identity - address and incarnation of the agent
 * @param placement - worker, zone and capacity of the agent
 * @returns the core
 */
export function createAgentCore(
    context: HostContext,
    identity: PeerIdentity,
    placement: AgentPlacement,
): AgentCore {
    const { settings, codec, coreClock } = context;
    return new AgentCore({
        identity,
        settings: {
            worker: placement.worker,
            rack: placement.rack,
            availabilityZone: placement.availabilityZone,
            cores: placement.cores,
            memoryMegabytes: placement.memoryMegabytes,
            standByLimit: settings.standByLimit,
            resubmissionWindowMilliseconds: settings.resubmissionWindowMilliseconds,
            maximumLedgerBytes: settings.maximumLedgerBytes,
            backendServerTimeoutMilliseconds: settings.backendServerTimeoutMilliseconds,
        },
        codec,
        clock: coreClock,
    });
}
