import {
  hostSettingsSchema,
  loadYaml,
  type HostSettings,
  type YamlResult,
} from '@chivewick/common';

/**
 * Reads and validates the settings of this host.
 *
 * @example
 * const loaded = loadSettings('host.yaml');
 */
export function loadSettings(file: string): YamlResult<HostSettings> {
  return loadYaml(file, hostSettingsSchema);
}
