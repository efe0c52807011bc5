/**
Scores of weighted rendezvous hashing.

Names are hashed by xxHash, once each; a pair of hashes is then mixed by the finalizer of MurmurHash3, so that a full
computation costs one integer mix for each pair of service and host. A host's score for a service is drawn from an
exponential distribution with the host's weight as its rate: the lowest score wins with a probability in proportion to
the weight, and a change of one host's weight moves only what that host gains or loses.
*/
/* eslint-disable no-bitwise -- the finalizer of a hash is made of bit operations */
import createXxhash from 'xxhash-wasm';

/**
Hashes a name to an unsigned 32-bit integer.
*/
export type NameHash = (name: string) => number;

const RANGE = 2 ** 32;
const GOLDEN_RATIO = 0x9E_37_79_B1;

/**
Loads the library hash. Its compilation is asynchronous; all that takes the hash is synchronous and pure.
*/
export async function createNameHash(): Promise<NameHash> {
	const xxhash = await createXxhash();
	return name => xxhash.h32(name);
}

/**
Mixes two hashes to a number uniform in (0, 1).
*/
export function getUniform(left: number, right: number): number {
	let mixed = Math.imul(left, GOLDEN_RATIO) ^ right;
	mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85_EB_CA_6B);
	mixed = Math.imul(mixed ^ (mixed >>> 13), 0xC2_B2_AE_35);
	mixed ^= mixed >>> 16;
	return ((mixed >>> 0) + 0.5) / RANGE;
}

/**
Returns the score of a host for a service; the lowest score wins. The weight is positive.
*/
export function getScore(serviceHash: number, hostHash: number, weight: number): number {
	return -Math.log(getUniform(serviceHash, hostHash)) / weight;
}
