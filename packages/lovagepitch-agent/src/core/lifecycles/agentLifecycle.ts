/**
 * Lifecycle of an agent process.
 */
import { Lifecycle } from "@lovagepitch/utils/lifecycle";
import { createMachine, state, transition } from "robot3";

/** Lifecycle state of an agent, from its start to the end of a graceful shutdown. */
export type AgentState = "registering" | "serving" | "leaving" | "stopped";

/** Event that changes the lifecycle state of an agent. */
export type AgentEvent = "registered" | "leave" | "drained";

const states: readonly AgentState[] = ["registering", "serving", "leaving", "stopped"];
const events: readonly AgentEvent[] = ["registered", "leave", "drained"];

/** Allowed transitions of an agent process. */
export const agentLifecycle = new Lifecycle<AgentState, AgentEvent>(
    "agent",
    states,
    events,
    initial =>
        createMachine(initial, {
            registering: state(transition("registered", "serving"), transition("leave", "leaving")),
            serving: state(transition("leave", "leaving")),
            leaving: state(transition("drained", "stopped")),
            stopped: state(),
        }),
);
