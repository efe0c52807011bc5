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
Creates the control of one host. It is never turned off again: while many entry hosts are down, a fleet that alternated between both ways of
dispatching would have two dispatchers grant the same slots.

@param countEntryHosts Returns the number of entry hosts that serve callers, 0 when it is unknown.
*/
export function createOverloadControl(mode: OverloadControlMode, countEntryHosts: () => number): OverloadControl {
	let isLarge = false;
	const checkSize = () => {
		isLarge ||= countEntryHosts() >= LARGE_FLEET_ENTRY_HOSTS;
		return isLarge;
	};

	const modes: Readonly<Record<OverloadControlMode, () => boolean>> = {on: () => true, off: () => false, auto: checkSize};
	return {isOn: modes[mode]};
}
