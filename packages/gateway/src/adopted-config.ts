import {eraOf, type StoredObject} from '@chivewick/platform';
import type {RoutingConfig} from './types.js';

/** A configuration and the object that holds it. */
export interface AdoptedConfig {
  readonly config: RoutingConfig;
  readonly object: StoredObject;
}

/**
 * Whether a stored configuration replaces the one in effect. Within an era the store
 * orders them. An object of a later era may be from the copy of which the store was
 * restored, so its own version must not be lower: removed routes and keys stay removed
 * until the operator has written the lost versions again.
 *
 * @example
 * if (replacesConfig(adopted, object, config)) adopt(config);
 */
export function replacesConfig(
  adopted: AdoptedConfig | undefined,
  {version}: Pick<StoredObject, 'version'>,
  config: Pick<RoutingConfig, 'version'>,
): boolean {
  if (adopted === undefined) return true;
  if (version <= adopted.object.version) return false;
  const isSameEra = eraOf(version) === eraOf(adopted.object.version);
  return isSameEra || config.version >= adopted.config.version;
}
