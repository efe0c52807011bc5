/**
Typed commands, dispatched to registered handlers in order of priority.
*/
import type * as utils from 'wagtailroute-utils';

/**
Handlers of a higher priority are asked first.
*/
export type Priority = 'low' | 'normal' | 'high';

const PRIORITIES: readonly Priority[] = ['high', 'normal', 'low'];

/**
Returns true when it handled the command: no further handler is asked.
*/
export type CommandHandler<Payload> = (payload: Payload) => boolean;

/**
Handlers by command name. `Commands` maps each command's name to its payload.
*/
export type CommandRegistry<Commands extends object> = {
	readonly registerCommand: <Name extends keyof Commands>(
		name: Name,
		handler: CommandHandler<Commands[Name]>,
		priority: Priority,
	) => utils.Teardown;
	readonly dispatchCommand: <Name extends keyof Commands>(name: Name, payload: Commands[Name]) => boolean;
};

type AnyHandler = CommandHandler<never>;

/**
Creates an empty registry. `dispatchCommand` returns whether a handler took the command.
*/
export function createCommandRegistry<Commands extends object>(): CommandRegistry<Commands> {
	const handlers = new Map<keyof Commands, Map<Priority, Set<AnyHandler>>>();
	return {
		registerCommand(name, handler, priority) {
			const byPriority = handlers.get(name) ?? new Map<Priority, Set<AnyHandler>>();
			const registered = byPriority.get(priority) ?? new Set<AnyHandler>();
			registered.add(handler);
			byPriority.set(priority, registered);
			handlers.set(name, byPriority);
			return () => {
				registered.delete(handler);
			};
		},
		dispatchCommand(name, payload) {
			const byPriority = handlers.get(name);
			const ordered = PRIORITIES.flatMap(priority => [...byPriority?.get(priority) ?? []]);
			return ordered.some(handler => handler(payload as never));
		},
	};
}
