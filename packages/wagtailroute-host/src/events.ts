/**
Event streams, and a runner of pure state machines on them.

A machine folds its stream of events, one after the other on one thread; a table of handlers carries out its effects.
*/
import * as most from 'most';
import type * as core from 'wagtailroute-core';

/**
Stream of the events that are passed to `emit`.
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
Creates an event source. Events are delivered synchronously, in the order of the calls.
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
Handlers of the effects of a machine, by kind.
*/
export type EffectHandlers<Effect extends {readonly kind: string}> = {
	readonly [Kind in Effect['kind']]: (effect: Extract<Effect, {readonly kind: Kind}>) => void;
};

/**
Running machine; `read` returns its present state.
*/
export type Machine<State, Event> = {
	readonly send: (event: Event) => void;
	readonly read: () => State;
	readonly stop: () => void;
};

/**
Definition of a machine, and the handlers of its effects.
*/
export type MachineOptions<State, Event, Effect extends {readonly kind: string}> = {
	readonly initial: State;
	readonly step: core.Step<State, Event, Effect>;
	readonly circumstances: () => core.Circumstances;
	readonly handlers: EffectHandlers<Effect>;
	/**
	Called with an error thrown by the step or by a handler. Such an error is a defect, and the machine has stopped.
	*/
	readonly onDefect: (error: Error) => void;
};

/**
Runs a machine. A handler may send further events; they are processed after the present one.
*/
export function runMachine<State, Event, Effect extends {readonly kind: string}>(
	options: MachineOptions<State, Event, Effect>,
): Machine<State, Event> {
	const source = createEventSource<Event>();
	const queue: Event[] = [];
	let state = options.initial;
	let isProcessing = false;

	const applyTransition = (transition: core.Transition<State, Effect>) => {
		state = transition.state;
		for (const effect of transition.effects) {
			options.handlers[effect.kind as Effect['kind']](effect as never);
		}
	};

	source.stream
		.loop((seed: State, event: Event) => {
			const transition = options.step(seed, event, options.circumstances());
			return {seed: transition.state, value: transition};
		}, options.initial)
		.observe(applyTransition)
		.catch((error: unknown) => {
			options.onDefect(error instanceof Error ? error : new TypeError(String(error)));
		});

	return {
		send(event) {
			queue.push(event);
			if (isProcessing) {
				return;
			}

			isProcessing = true;
			for (let next = queue.shift(); next !== undefined; next = queue.shift()) {
				source.emit(next);
			}

			isProcessing = false;
		},
		read: () => state,
		stop() {
			source.end();
		},
	};
}
