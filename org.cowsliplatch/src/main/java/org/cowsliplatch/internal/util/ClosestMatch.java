package org.cowsliplatch.internal.util;

import java.util.Collection;
import org.jspecify.annotations.Nullable;

/** Finds the candidate closest to a misspelt word, for suggestions in error messages. */
public final class ClosestMatch {
    private ClosestMatch() {}

    /** Returns the candidate with the smallest edit distance, or null if there are no candidates. */
    public static @Nullable String find(String text, Collection<String> candidates) {
        String best = null;
        int bestDistance = Integer.MAX_VALUE;
        for (String candidate : candidates.stream().sorted().toList()) {
            int distance = distance(text, candidate);
            if (distance < bestDistance) {
                bestDistance = distance;
                best = candidate;
            }
        }
        return best;
    }

    private static int distance(String a, String b) {
        int[] previous = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            previous[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int[] current = new int[b.length() + 1];
            current[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int substitution = a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1;
                current[j] = Math.min(Math.min(current[j - 1], previous[j]) + 1, previous[j - 1] + substitution);
            }
            previous = current;
        }
        return previous[b.length()];
    }
}
