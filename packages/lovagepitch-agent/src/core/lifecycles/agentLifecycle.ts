/**
 * States of an agent process.
 */
import { Lifecycle } from "@lovagepitch/utils/lifecycle";
import { createMachine, state, transition } from "robot3";

/** Where an agent stands between its start and its planned stop. */
export type AgentState = "registering" | "serving" | "leaving" | "stopped";

/** What can happen to an agent. */
export type AgentEvent = "registered" | "leave" | "drained";

const states: readonly AgentState[] = ["registering", "serving", "leaving", "stopped"];
const events: readonly AgentEvent[] = ["registered", "leave", "drained"];

/** Legal transitions of an agent. */
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
