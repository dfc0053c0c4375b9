import {sha256} from '@chivewick/common';

/** A valid `entitlements` list. */
export const ENTITLEMENTS = {
  models: {
    'rota-draft': {version: 'v1', layers: 24, adapters: ['formal']},
    'rota-short': {version: 'v2', layers: 8, adapters: []},
  },
  services: {bookings: {repeatable: true, nonRepeatablePaths: ['/slots']}},
  plans: {
    parish: {
      models: ['rota-draft', 'rota-draft:formal'],
      services: ['bookings'],
      priority: 1,
      concurrency: 8,
      tokensPerSecond: 400,
    },
    chapel: {
      models: ['rota-short'],
      services: [],
      priority: 2,
      concurrency: 2,
      tokensPerSecond: 50,
    },
  },
};

/** A valid `plans` list, jointly valid with `ENTITLEMENTS`. */
export const PLANS = {
  workspaces: {
    'san-fermin': {plan: 'parish', keys: [sha256('first key')]},
    'santa-ana': {plan: 'chapel', keys: [sha256('second key')]},
  },
};
