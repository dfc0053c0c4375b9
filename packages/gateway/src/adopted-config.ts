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

/**
 * Whether the configuration that another host has replaces the one in effect. A host that
 * does not reach the store may still have one that the store has replaced by a lower
 * version.
 *
 * @example
 * if (surpassesConfig(adopted, found, config)) adopt(config);
 */
export function surpassesConfig(
  adopted: AdoptedConfig | undefined,
  {version}: Pick<StoredObject, 'version'>,
  config: Pick<RoutingConfig, 'version'>,
): boolean {
  if (adopted === undefined) return true;
  if (config.version <= adopted.config.version) return false;
  const isSameEra = eraOf(version) === eraOf(adopted.object.version);
  return !isSameEra || version >= adopted.object.version;
}
