/**
Variants of the present code that can be compared: the policy of the dispatcher with some of its numbers changed, and mechanisms switched off.
*/
import * as core from 'wagtailroute-core';
import * as dispatch from 'wagtailroute-dispatch';
import * as results from 'ts-results-es';

/**
Why a variant is not known.
*/
export type VariantFailure = core.Failure<'variant-unknown'>;

/**
A variant.
*/
export type Variant = {
	readonly name: string;
	readonly policy: dispatch.Policy;
	/**
	Entry hosts dispatch for others while no control host does.
	*/
	readonly hasStandbys: boolean;
	/**
	Nothing of what dispatchers believe survives a restart of everything.
	*/
	readonly isForgetful: boolean;
	/**
	Each request is sent to the best upstream by what will become of it: the bound of all policies.
	*/
	readonly isAllKnowing: boolean;
};

/**
The present code.
*/
export const PRESENT: Variant = {
	name: 'present', policy: dispatch.DEFAULT_POLICY, hasStandbys: true, isForgetful: false, isAllKnowing: false,
};

type Changes = Partial<Omit<Variant, 'name' | 'policy'>> & {readonly policy?: Partial<dispatch.Policy>};

/**
Mechanisms by name, each with what switches it off.
*/
export const MECHANISMS: Readonly<Record<string, Changes>> = {
	standbys: {hasStandbys: false},
	memory: {isForgetful: true},
	doubt: {policy: {suspendedDoubt: Infinity}},
	trials: {policy: {trialLeastMilliseconds: 1e9, trialMostMilliseconds: 1e9}},
	risk: {policy: {riskCost: 0}},
	paths: {policy: {overdueRatio: Infinity, pathMilliseconds: 0}},
	'doubt-cost': {policy: {doubtCost: 0}},
	homes: {
		policy: {
			domainCost: 0, uploadDomainCost: 0, domainWaitMilliseconds: 0, unrepeatableDomainWaitMilliseconds: 0, uploadDomainWaitMilliseconds: 0,
		},
	},
	ranks: {policy: {rankMilliseconds: 0}},
	objective: {policy: {objectivePart: -1e9}},
	missed: {policy: {missedPart: 1}},
	'reads-first': {policy: {unrepeatableTrialMilliseconds: 0}},
	slowness: {policy: {slownessShare: 0}},
	fading: {policy: {fadingDoubt: 0}},
};

const ALL_KNOWING: Variant = {...PRESENT, name: 'all-knowing', isAllKnowing: true};
const OFF_PREFIX = 'no-';

/**
Finds a variant by its name: `present`, `all-knowing`, `no-MECHANISM`, or `PARAMETER=NUMBER`, several of them joined by commas.
*/
export function findVariant(name: string): results.Result<Variant, VariantFailure> {
	if (name === ALL_KNOWING.name) {
		return results.Ok(ALL_KNOWING);
	}

	let variant: Variant = {...PRESENT, name};
	for (const word of name.split(',')) {
		const changes = word.includes('=') ? parseParameter(word) : findMechanism(word);
		if (changes === undefined) {
			return results.Err(core.createFailure('variant-unknown', `variant: ${word} is not one of ${describeAll()}`));
		}

		variant = {...variant, ...changes, policy: {...variant.policy, ...changes.policy}};
	}

	return results.Ok(variant);
}

function findMechanism(word: string): Changes | undefined {
	if (word === PRESENT.name) {
		return {};
	}

	const mechanism = word.slice(OFF_PREFIX.length);
	return word.startsWith(OFF_PREFIX) && Object.hasOwn(MECHANISMS, mechanism) ? MECHANISMS[mechanism] : undefined;
}

function parseParameter(word: string): Changes | undefined {
	const [parameter = '', text = ''] = word.split('=', 2);
	const number = Number(text);
	const isKnown = Object.hasOwn(dispatch.DEFAULT_POLICY, parameter) && text !== '' && !Number.isNaN(number);
	return isKnown ? {policy: {[parameter]: number}} : undefined;
}

function describeAll(): string {
	const mechanisms = Object.keys(MECHANISMS).map(mechanism => `${OFF_PREFIX}${mechanism}`);
	return [PRESENT.name, ALL_KNOWING.name, ...mechanisms, 'PARAMETER=NUMBER'].join(', ');
}

/**
Says whether the policy has a parameter.
*/
export function isParameter(name: string): name is keyof dispatch.Policy {
	return Object.hasOwn(dispatch.DEFAULT_POLICY, name);
}
