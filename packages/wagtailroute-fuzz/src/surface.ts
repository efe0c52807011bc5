/**
What a surface to be fuzzed is.
*/
import type * as utils from 'wagtailroute-utils';
import type {Place} from './target.ts';

/**
One input. `text` is what was sent, for people. `run` resolves when the target has answered, refused or said nothing for
a while, to faults seen in the answer itself, and names of requests that were told to be not run.
*/
export type Input = {
	readonly text: string;
	readonly run: () => Promise<InputResult>;
};

/**
What came of an input.
*/
export type InputResult = {
	readonly faults?: readonly string[];
	/**
	Name of a request that was told `not-run`.
	*/
	readonly notRun?: string;
};

/**
A surface. `createInput` makes the input of a number, the same for the same random numbers.
*/
export type Surface = {
	readonly name: string;
	/**
	Needs a running target.
	*/
	readonly needsTarget: boolean;
	readonly createInput: (random: utils.Random, place: Place, number: number) => Input;
};
