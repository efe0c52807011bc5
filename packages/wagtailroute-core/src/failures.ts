/**
The shape of every failure. Each part declares a union of its own kinds; no failure is a bare string.
*/

/**
A typed failure.
*/
export type Failure<Kind extends string = string> = {
	/**
	What went wrong, for programs.
	*/
	readonly kind: Kind;
	/**
	What went wrong, for people: one short sentence that names the value at fault.
	*/
	readonly message: string;
};

/**
Creates a failure.
*/
export function createFailure<Kind extends string>(kind: Kind, message: string): Failure<Kind> {
	return {kind, message};
}
