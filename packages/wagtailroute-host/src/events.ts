/**
Event streams, and the pure state machines that run on them.

Everything that happens to a host's state arrives on a stream of events; a machine folds its stream, one event after the
other on one thread, and its effects are carried out by a table of handlers.
*/
import * as most from 'most';
import type * as core from 'wagtailroute-core';

/**
A stream that events can be put into.
*/
export type EventSource<Event> = {
	readonly stream: most.Stream<Event>;
	readonly emit: (event: Event) => void;
	/**
	Ends the stream; later events are dropped.
	*/
	readonly end: () => void;
};

/**
Creates a stream that events can be put into. Events are delivered at once, in the order of the calls.
*/
export function createEventSource<Event>(): EventSource<Event> {
	type Listener = {readonly sink: most.Sink<Event>; readonly scheduler: most.Scheduler};
	const listeners = new Set<Listener>();
	const source: most.Source<Event> = {
		run(sink, scheduler) {
			const listener = {sink, scheduler};
			listeners.add(listener);
			return {
				dispose() {
					listeners.delete(listener);
				},
			};
		},
	};
	return {
		stream: new most.Stream(source),
		emit(event) {
			for (const {sink, scheduler} of listeners) {
				sink.event(scheduler.now(), event);
			}
		},
		end() {
			for (const {sink, scheduler} of listeners) {
				sink.end(scheduler.now());
			}

			listeners.clear();
		},
	};
}

/**
Carries out the effects of a machine, by their kind.
*/
export type EffectHandlers<Effect extends {readonly kind: string}> = {
	readonly [Kind in Effect['kind']]: (effect: Extract<Effect, {readonly kind: Kind}>) => void;
};

/**
A machine that runs.
*/
export type Machine<State, Event> = {
	readonly send: (event: Event) => void;
	readonly read: () => State;
	readonly stop: () => void;
};

/**
What a machine is made from.
*/
export type MachinePlan<State, Event, Effect extends {readonly kind: string}> = {
	readonly initial: State;
	readonly step: core.Step<State, Event, Effect>;
	readonly circumstances: () => core.Circumstances;
	readonly handlers: EffectHandlers<Effect>;
	/**
	Told of an error thrown by the step or by a handler: a defect, after which the machine has stopped.
	*/
	readonly onDefect: (error: Error) => void;
};

/**
Runs a machine. An effect's handler may send further events; they are taken after the present one.
*/
export function runMachine<State, Event, Effect extends {readonly kind: string}>(
	plan: MachinePlan<State, Event, Effect>,
): Machine<State, Event> {
	const source = createEventSource<Event>();
	const waiting: Event[] = [];
	let state = plan.initial;
	let isBusy = false;

	const carryOut = (transition: core.Transition<State, Effect>) => {
		state = transition.state;
		for (const effect of transition.effects) {
			plan.handlers[effect.kind as Effect['kind']](effect as never);
		}
	};

	source.stream
		.loop((seed: State, event: Event) => {
			const transition = plan.step(seed, event, plan.circumstances());
			return {seed: transition.state, value: transition};
		}, plan.initial)
		.observe(carryOut)
		.catch((error: unknown) => {
			plan.onDefect(error instanceof Error ? error : new TypeError(String(error)));
		});

	return {
		send(event) {
			waiting.push(event);
			if (isBusy) {
				return;
			}

			isBusy = true;
			for (let next = waiting.shift(); next !== undefined; next = waiting.shift()) {
				source.emit(next);
			}

			isBusy = false;
		},
		read: () => state,
		stop() {
			source.end();
		},
	};
}
