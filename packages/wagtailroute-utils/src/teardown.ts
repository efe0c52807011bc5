/**
Teardowns: every `register…` function returns one, and several merge into one.
*/

/**
Undoes a registration. Calling it twice has no further effect.
*/
export type Teardown = () => void;

/**
Merges teardowns into one that runs them in reverse order of registration, each at most once.
*/
export function mergeTeardowns(...teardowns: readonly Teardown[]): Teardown {
	const pending = [...teardowns];
	return () => {
		while (pending.length > 0) {
			pending.pop()?.();
		}
	};
}
