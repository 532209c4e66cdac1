/**
 * Lifecycle of a task at an agent.
 */
import { Lifecycle } from "@lovagepitch/utils/lifecycle";
import { createMachine, state, transition } from "robot3";

/** State of a task at an agent; `standing-by` is a task that is queued at the agent. */
export type TaskState = "received" | "standing-by" | "running" | "succeeded" | "failed" | "refused";

/** Event that changes the state of a task. */
export type TaskEvent = "queue" | "start" | "succeed" | "fail" | "refuse";

const states: readonly TaskState[] = ["received", "standing-by", "running", "succeeded", "failed", "refused"];
const events: readonly TaskEvent[] = ["queue", "start", "succeed", "fail", "refuse"];

/**
 * Allowed transitions of a task. A task that was started cannot be started again, except when its request was never
 * delivered to the backend server.
 */
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
                // The request never reached the backend server, so the task did not run.
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
