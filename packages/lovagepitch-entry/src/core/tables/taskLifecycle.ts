/**
 * State machine of a task at its owner entry.
 */
import { Lifecycle } from "@lovagepitch/utils/lifecycle";
import { createMachine, state, transition } from "robot3";
import type { TaskState } from "./taskRow.js";

/** Events that change the state of a task. */
export type TaskEvent = "send" | "refuse" | "queue" | "run" | "succeed" | "fail" | "lose";

const taskStates: readonly TaskState[] = ["waiting", "sent", "standing-by", "running", "succeeded", "failed", "lost"];
const taskEvents: readonly TaskEvent[] = ["send", "refuse", "queue", "run", "succeed", "fail", "lose"];

/** Allowed transitions; a task that was sent returns to "waiting" only when an agent refuses it. */
export const taskLifecycle = new Lifecycle<TaskState, TaskEvent>(
    "task",
    taskStates,
    taskEvents,
    initial =>
        createMachine(initial, {
            "waiting": state(transition("send", "sent")),
            "sent": state(
                transition("send", "sent"),
                transition("refuse", "waiting"),
                transition("queue", "standing-by"),
                transition("run", "running"),
                transition("succeed", "succeeded"),
                transition("fail", "failed"),
                transition("lose", "lost"),
            ),
            "standing-by": state(
                transition("refuse", "waiting"),
                transition("queue", "standing-by"),
                transition("run", "running"),
                transition("succeed", "succeeded"),
                transition("fail", "failed"),
                transition("lose", "lost"),
            ),
            "running": state(
                // The backend server refused the connection, so the task did not reach it.
                transition("refuse", "waiting"),
                transition("run", "running"),
                transition("succeed", "succeeded"),
                transition("fail", "failed"),
                transition("lose", "lost"),
            ),
            "succeeded": state(),
            "failed": state(),
            "lost": state(),
        }),
);
