/**
The shape of every decision: a pure function from a state and an event to the next state and the effects to carry out.
Time and random numbers are passed in, so that a test, a bench or a host drives the same code.
*/

/**
What a decision may know besides its state and the event.
*/
export type Circumstances = {
	/**
	Monotonic time in milliseconds. Never a wall clock: a clock jump must end no lease.
	*/
	readonly now: number;
	/**
	Uniform in [0, 1).
	*/
	readonly random: () => number;
};

/**
The next state and what is to be done, in order.
*/
export type Transition<State, Effect> = {
	readonly state: State;
	readonly effects: readonly Effect[];
};

/**
A pure state machine.
*/
export type Step<State, Event, Effect> = (
	state: State,
	event: Event,
	circumstances: Circumstances,
) => Transition<State, Effect>;
