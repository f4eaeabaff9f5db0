package org.baobabspindle.lab;

import java.util.List;

/**
 * A straight line fitted to measured points by ordinary least squares.
 *
 * @param intercept the fitted value at size 0
 * @param slope the increase of the value per unit of size
 * @param r2 the coefficient of determination: the share of the variance that the line explains
 */
record LinearFit(double intercept, double slope, double r2) {
    /** A measured value at a size. */
    record Point(double size, double value) {}

    /** Returns the line fitted to the points, of which there must be at least two of different size. */
    static LinearFit of(List<Point> points) {
        double meanX = points.stream().mapToDouble(Point::size).average().orElseThrow();
        double meanY = points.stream().mapToDouble(Point::value).average().orElseThrow();
        double xy = 0;
        double xx = 0;
        double yy = 0;
        for (Point p : points) {
            xy += (p.size() - meanX) * (p.value() - meanY);
            xx += (p.size() - meanX) * (p.size() - meanX);
            yy += (p.value() - meanY) * (p.value() - meanY);
        }
        double slope = xy / xx;
        double r2 = yy == 0 ? 1 : xy * xy / (xx * yy);
        return new LinearFit(meanY - slope * meanX, slope, r2);
    }
}
