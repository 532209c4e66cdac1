/**
 * States of a task at an agent.
 */
import { Lifecycle } from "@lovagepitch/utils/lifecycle";
import { createMachine, state, transition } from "robot3";

/** Where a task stands at this agent. */
export type TaskState = "received" | "standing-by" | "running" | "succeeded" | "failed" | "refused";

/** What can happen to a task. */
export type TaskEvent = "queue" | "start" | "succeed" | "fail" | "refuse";

const states: readonly TaskState[] = ["received", "standing-by", "running", "succeeded", "failed", "refused"];
const events: readonly TaskEvent[] = ["queue", "start", "succeed", "fail", "refuse"];

/** Legal transitions; no state that follows a start leads back to one, except when nothing was delivered. */
export const taskLifecycle = new Lifecycle<TaskState, TaskEvent>(
    "task",
    states,
    events,
    initial =>
        createMachine(initial, {
            "received": state(
                transition("queue", "standing-by"),
                transition("start", "running"),
                transition("refuse", "refused"),
            ),
            "standing-by": state(transition("start", "running"), transition("refuse", "refused")),
            "running": state(
                transition("succeed", "succeeded"),
                transition("fail", "failed"),
                // A request that never reached the backend server has not started the task.
                transition("refuse", "refused"),
            ),
            "refused": state(
                transition("queue", "standing-by"),
                transition("start", "running"),
                transition("refuse", "refused"),
            ),
            "succeeded": state(),
            "failed": state(),
        }),
);
