/**
Whether overload control is on: divided dispatching, and requests ordered by what it costs callers to wait.
*/
import {LARGE_FLEET_ENTRY_HOSTS} from './constants.ts';

/**
`auto` turns overload control on once the fleet is so large that one dispatcher per service no longer keeps up.
*/
export type OverloadControlMode = 'on' | 'off' | 'auto';

export type OverloadControl = {
	readonly isOn: () => boolean;
};

/**
Creates the size check of a control host, which knows all entry hosts.
*/
export function createLargeFleetCheck(countEntryHosts: () => number): () => boolean {
	return () => countEntryHosts() >= LARGE_FLEET_ENTRY_HOSTS;
}

/**
Creates the control of one host. It is never turned off again: while many entry hosts are down, a fleet that alternated between both ways of
dispatching would have two dispatchers grant the same slots.

@param isLargeFleet Returns whether the fleet counts as large, as far as this host knows.
*/
export function createOverloadControl(mode: OverloadControlMode, isLargeFleet: () => boolean): OverloadControl {
	let isLarge = false;
	const checkSize = () => {
		isLarge ||= isLargeFleet();
		return isLarge;
	};

	const modes: Readonly<Record<OverloadControlMode, () => boolean>> = {on: () => true, off: () => false, auto: checkSize};
	return {isOn: modes[mode]};
}
