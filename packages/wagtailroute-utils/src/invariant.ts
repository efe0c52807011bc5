/**
A check for what cannot happen.

A broken invariant is a defect in this program, never bad input, so it throws: the process ends in a known state and the
stack names the place. Bad input is answered with a typed failure instead.
*/

/**
Thrown when a condition that the program relies on does not hold.
*/
export class BrokenInvariant extends Error {
	override readonly name = 'BrokenInvariant';
}

/**
Throws a {@link BrokenInvariant} unless the condition holds.
*/
export function invariant(condition: boolean, message: string): asserts condition {
	if (!condition) {
		throw new BrokenInvariant(message);
	}
}
