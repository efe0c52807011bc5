/**
Tasks whose result nobody awaits.

A rejection that nobody handles ends the process, and with it everything else that the process does. Here it ends its task only, and is reported.
*/

/**
Starts a task. An error that it throws is passed to `onDefect`.
*/
export function runDetached(task: () => Promise<unknown>, onDefect: (error: Error) => void): void {
	void (async () => {
		try {
			await task();
		} catch (error) {
			onDefect(error as Error);
		}
	})();
}
