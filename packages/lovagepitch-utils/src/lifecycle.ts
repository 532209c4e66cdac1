/**
 * State transitions of an entity, derived from a robot3 machine.
 */
import { interpret, type Machine } from "robot3";

/** Error of an event that is not allowed in the entity's current state. */
export class IllegalTransitionError extends Error {
    /**
     * @param lifecycle - name of the lifecycle
     * @param state - current state of the entity
     * @param event - the event that is not allowed
     */
    public constructor(lifecycle: string, state: string, event: string) {
        super(`${lifecycle}: "${event}" is not allowed in state "${state}"; report this as a defect`);
        this.name = "IllegalTransitionError";
    }
}

/** Transition table that needs no interpreter per entity, so that a table row stores only the name of its state. */
export class Lifecycle<State extends string, Event extends string> {
    private readonly transitions = new Map<string, State>();

    /**
     * @param name - name of the lifecycle, for error messages
     * @param states - all states of the machine
     * @param events - all events of the machine
     * @param createMachineAt - creates the robot3 machine with the given initial state
     */
    public constructor(
        private readonly name: string,
        states: readonly State[],
        events: readonly Event[],
        createMachineAt: (initial: State) => Machine,
    ) {
        for (const state of states) {
            for (const event of events) {
                this.recordTransition(createMachineAt(state), state, event);
            }
        }
    }

    /**
     * Tells whether an event is allowed.
     *
     * @param state - current state of the entity
     * @param event - event to apply
     * @returns true when the state allows the event
     */
    public allows(state: State, event: Event): boolean {
        return this.transitions.has(`${state}:${event}`);
    }

    /**
     * Applies an event to a state.
     *
     * @param state - current state of the entity
     * @param event - event to apply
     * @returns the next state
     * @throws IllegalTransitionError when the state does not allow the event
     */
    public next(state: State, event: Event): State {
        const target = this.transitions.get(`${state}:${event}`);
        if (target === undefined) {
            throw new IllegalTransitionError(this.name, state, event);
        }
        return target;
    }

    private recordTransition(machine: Machine, state: State, event: Event): void {
        let hasChanged = false;
        const service = interpret(machine, () => {
            hasChanged = true;
        });
        service.send({ type: event } as never);
        if (hasChanged) {
            this.transitions.set(`${state}:${event}`, service.machine.current as State);
        }
    }
}
