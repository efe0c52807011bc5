/**
The addresses a run loads: given ones, or those that the directory names for a service, asked again when they grow old.
*/
import * as core from 'wagtailroute-core';
import * as results from 'ts-results-es';
import * as undici from 'undici';
import * as utils from 'wagtailroute-utils';
import * as zod from 'zod';
import * as constants from './constants.ts';
import type * as failures from './failures.ts';

/**
Addresses to choose from.
*/
export type Targets = {
	/**
	Picks an address, other than `but` where there is another.
	*/
	readonly pick: (but?: core.Address) => core.Address;
	readonly stop: utils.Teardown;
};

const DIRECTORY = zod.object({
	addresses: zod.array(zod.object({ip: zod.string(), port: zod.int()})).min(1),
	ttlSeconds: zod.number().positive(),
});

const MILLISECONDS_PER_SECOND = 1000;

/**
Creates the targets. With a service, `addresses` are those of any entry hosts, which are asked for the service's own.
*/
export async function createTargets(
	addresses: readonly core.Address[],
	service: core.ServiceName | undefined,
	random: utils.Random,
): Promise<results.Result<Targets, failures.LoadFailure>> {
	if (service === undefined) {
		return results.Ok(createPicker(() => addresses, random, utils.mergeTeardowns()));
	}

	let kept = await askDirectory(addresses, service);
	if (!kept) {
		return results.Err(core.createFailure('no-addresses', `No target names addresses of the service ${service}`));
	}

	let timer: NodeJS.Timeout | undefined;
	const renew = async (): Promise<void> => {
		// The old list goes on serving when nobody answers: a caller would keep it too.
		kept = await askDirectory([...kept!.addresses, ...addresses], service) ?? kept;
		schedule();
	};

	const schedule = (): void => {
		timer = setTimeout(() => {
			void renew();
		}, kept!.ttlSeconds * MILLISECONDS_PER_SECOND);
		timer.unref();
	};

	schedule();
	return results.Ok(createPicker(() => kept!.addresses, random, () => {
		clearTimeout(timer);
	}));
}

function createPicker(getAddresses: () => readonly core.Address[], random: utils.Random, stop: utils.Teardown): Targets {
	return {
		pick(but) {
			const all = getAddresses();
			const others = but === undefined ? all : all.filter(address => address.ip !== but.ip || address.port !== but.port);
			const choice = others.length === 0 ? all : others;
			return choice[utils.pickIndex(random, choice.length)]!;
		},
		stop,
	};
}

async function askDirectory(
	addresses: readonly core.Address[],
	service: core.ServiceName,
): Promise<zod.output<typeof DIRECTORY> | undefined> {
	for (const address of addresses) {
		try {
			const url = `http://${core.formatAddress(address)}/.wagtailroute/addresses?service=${encodeURIComponent(service)}`;
			const signal = AbortSignal.timeout(constants.CONTROL_TIMEOUT_MILLISECONDS);
			// One after the other: the first answer is enough.
			// eslint-disable-next-line no-await-in-loop
			const response = await undici.request(url, {signal});
			// eslint-disable-next-line no-await-in-loop
			return DIRECTORY.parse(await response.body.json());
		} catch {
			// The next address may answer.
			continue;
		}
	}

	return undefined;
}
